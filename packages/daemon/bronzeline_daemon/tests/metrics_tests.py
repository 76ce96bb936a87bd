import unittest

from bronzeline_daemon.metrics import MAX_WORKSPACES, Metrics
from bronzeline_kernel.decisions import Decision


class MetricsTests(unittest.TestCase):
    def test_limits_label_values_and_counts_the_rest_as_other(self):
        metrics = Metrics()
        n_workspaces = MAX_WORKSPACES + 50
        for number in range(n_workspaces):
            for _ in range(2):
                metrics.first_token(f"shop-{number}", "short", 100.0)
            metrics.count_decision(Decision(0.0, "x", "refuse", "", f"reason-{number}"))
        samples = [
            sample
            for family in metrics.registry.collect()
            for sample in family.samples
        ]  # fmt: skip
        counts = {
            sample.labels["workspace"]: sample.value
            for sample in samples
            if sample.name == "bronzeline_first_token_seconds_count"
        }
        reasons = [
            item for item in samples if item.name == "bronzeline_decisions_total"
        ]
        self.assertEqual(len(counts), MAX_WORKSPACES + 1)
        self.assertEqual(counts["other"], 100)
        self.assertEqual(sum(counts.values()), 2 * n_workspaces)
        self.assertEqual(sum(item.value for item in reasons), n_workspaces)
        self.assertLess(len(reasons), n_workspaces)

    def test_exposes_gauges_and_process_metrics(self):
        metrics = Metrics()
        metrics.gauge("some_count", "Some count.", lambda: 7)
        text = metrics.expose().decode()
        self.assertIn("bronzeline_some_count 7.0", text)
        self.assertGreater(metrics.process_value("resident_memory_bytes"), 1_000_000)
