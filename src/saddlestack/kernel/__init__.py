"""The kernel: a registry of named services, mailboxes and the clock."""
