import unittest

from saddlestack.errors import TABLE, ErrorKind, Ran


class ErrorTableTest(unittest.TestCase):
    def test_every_kind_has_a_row_and_no_row_is_left_over(self) -> None:
        self.assertEqual(set(TABLE), set(ErrorKind))

    def test_statuses_and_exit_codes_are_errors(self) -> None:
        for kind, rule in TABLE.items():
            with self.subTest(kind=kind):
                self.assertTrue(400 <= rule.status <= 599)
                self.assertGreater(rule.exit_code, 0)

    def test_kinds_that_may_have_run_are_not_marked_as_not_run(self) -> None:
        may_have_run = {kind for kind, rule in TABLE.items() if rule.ran is Ran.UNKNOWN}
        self.assertEqual(
            may_have_run,
            {ErrorKind.ANSWER_DAMAGED, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.INTERNAL},
        )
