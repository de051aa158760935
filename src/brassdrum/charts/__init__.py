"""State charts as JSON files, and the code that interprets them."""

from brassdrum.charts.chart import Chart, OutsideChartError, load_chart

__all__ = ["Chart", "OutsideChartError", "load_chart"]
