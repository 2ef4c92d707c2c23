"""Detection of targets that fail requests, and their ejection.

An agent records the outcome of each request of its target. A target that fails requests
gets no new flows until trial flows have shown that it serves again.
"""

from plantainyoke.outliers._ejection import EjectionState
from plantainyoke.outliers._outcomes import OutcomeKind, OutcomeWindow
from plantainyoke.outliers._requests import RequestTracker

__all__ = ["EjectionState", "OutcomeKind", "OutcomeWindow", "RequestTracker"]
