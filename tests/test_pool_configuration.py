"""Configurations whose parts do not fit together are found, with what is wrong named."""

from __future__ import annotations

import unittest

import msgspec

from saddlestack.platform.documents import PlatformDocuments
from saddlestack.policy.pool_configuration import faults_of
from tests.malformed import configuration_document, unfitting_configurations


class FaultsTest(unittest.TestCase):
    # Two queues at one place, or one key of two accounts, left open which of them a call meant.
    def test_each_fault_is_found(self) -> None:
        for name, value in unfitting_configurations().items():
            with self.subTest(name):
                self.assertEqual(len(faults_of(PlatformDocuments().configuration(value))), 1)

    def test_all_faults_are_named_at_once(self) -> None:
        route = {"name": "x", "host": "h", "path-prefix": "/", "service": "none"}
        document = configuration_document(routes=[route, {**route, "name": "y"}])
        faults = faults_of(PlatformDocuments().configuration(msgspec.json.encode(document)))
        self.assertEqual(
            faults,
            [
                "queue 'y': expected another host or prefix than that of 'x'",
                "queue 'x': no service is named 'none'",
                "queue 'y': no service is named 'none'",
            ],
        )

    def test_a_key_is_not_named(self) -> None:
        accounts = [{"name": "a", "api-keys": ["secret"]}, {"name": "b", "api-keys": ["secret"]}]
        value = msgspec.json.encode(configuration_document(tenants=accounts))
        faults = faults_of(PlatformDocuments().configuration(value))
        self.assertEqual(faults, ["client account 'b': has a key of 'a'"])

    def test_a_sound_configuration_has_no_faults(self) -> None:
        accounts = [{"name": "a", "api-keys": ["k", "k"]}, {"name": "b"}]
        value = msgspec.json.encode(configuration_document(tenants=accounts))
        self.assertEqual(faults_of(PlatformDocuments().configuration(value)), [])


if __name__ == "__main__":
    unittest.main()
