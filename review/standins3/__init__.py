"""Stand-ins for the scripts of the third review: store, workers, machine service, clients.

They use the standard library only and follow the users' pages. All of them run in the process of
the script; the entry VMs are processes of their own.
"""
