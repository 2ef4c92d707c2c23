"""The balancer role: forwards datagrams and keeps no flow state."""

from plantainyoke.balancer._balancer import Balancer, run_balancer
from plantainyoke.balancer._steering import Decision, Drop, Steering, Verdict

__all__ = ["Balancer", "Decision", "Drop", "Steering", "Verdict", "run_balancer"]
