from saddlestack.models import JobState
from saddlestack.standins.cluster import Cluster, token_of
from tests.support import EE_HALLS, ClusterTest


class EndToEndTest(ClusterTest):
    def test_a_gang_runs_from_submission_to_its_answer(self) -> None:
        async def body(cluster: Cluster) -> None:
            client = cluster.client(token_of("depots"), hall="ulemiste")
            job = await client.submit(
                "r-1", 16, job_class="urgent", adjacent="rack", payload='{"seconds": 2}', wait=30
            )
            self.assertIs(job.state, JobState.DONE)
            self.assertTrue(job.durable)
            self.assertEqual(sum(part.accelerators for part in job.parts), 16)
            started = [
                entry
                for endpoint in cluster.endpoints.values()
                for entry in endpoint.history
                if entry.event == "start"
            ]
            self.assertEqual({entry.attempt for entry in started}, {1})
            self.assertEqual(sum(entry.accelerators for entry in started), 16)

        self.with_cluster(body, halls=EE_HALLS)

    def test_a_repeated_request_gets_the_first_answer(self) -> None:
        async def body(cluster: Cluster) -> None:
            client = cluster.client(token_of("depots"))
            first = await client.submit("pay-1", 8, run_once=True, wait=30)
            again = await client.submit("pay-1", 8, run_once=True, wait=30)
            self.assertEqual(first.answer, again.answer)
            starts = [
                entry
                for endpoint in cluster.endpoints.values()
                for entry in endpoint.history
                if entry.event == "start"
            ]
            self.assertEqual(len(starts), 1)

        self.with_cluster(body)
