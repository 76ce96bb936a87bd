"""Run benchmark scenarios and compare each measured figure with its bound."""

from bronzeline_standins.bench.experiment import Experiment, Measurement, Measurements
from bronzeline_standins.bench.figure import Figure
from bronzeline_standins.bench.scenario import Bound, Scenario, load_scenarios

__all__ = [
    "Bound",
    "Experiment",
    "Figure",
    "Measurement",
    "Measurements",
    "Scenario",
    "load_scenarios",
]
