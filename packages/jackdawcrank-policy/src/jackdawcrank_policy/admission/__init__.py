"""Admission control for the statement slots of a group."""

from jackdawcrank_policy.admission.admission_request import AdmissionRequest
from jackdawcrank_policy.admission.admission_results import (
    Admitted,
    Queued,
    Refused,
)
from jackdawcrank_policy.admission.class_queue import ClassQueue
from jackdawcrank_policy.admission.concurrency_limit import concurrency_limit
from jackdawcrank_policy.admission.fair_queue import FairQueue
from jackdawcrank_policy.admission.group_admission import GroupAdmission
from jackdawcrank_policy.admission.home_slots import home_slots

__all__ = [
    "AdmissionRequest",
    "Admitted",
    "ClassQueue",
    "FairQueue",
    "GroupAdmission",
    "Queued",
    "Refused",
    "concurrency_limit",
    "home_slots",
]
