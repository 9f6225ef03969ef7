"""Distinct types for identifiers, so that type checkers reject mix-ups."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
DataCentreId = NewType("DataCentreId", str)
TeamId = NewType("TeamId", str)
UpstreamId = NewType("UpstreamId", str)
PoolId = NewType("PoolId", str)
RouteId = NewType("RouteId", str)
PriorityId = NewType("PriorityId", str)
ModelId = NewType("ModelId", str)

RequestId = NewType("RequestId", str)
AttemptNumber = NewType("AttemptNumber", int)
IdempotencyKey = NewType("IdempotencyKey", str)
Fingerprint = NewType("Fingerprint", str)
# Part of a prompt that several requests share, such as its system prompt.
PromptPart = NewType("PromptPart", str)
Digest = NewType("Digest", str)

# Identifies one run of a process; a restart generates a new value.
Incarnation = NewType("Incarnation", str)

Revision = NewType("Revision", int)
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
ReadId = NewType("ReadId", int)
# Increases with each grant of a lease, so that requests of an earlier holder can be refused.
FencingNumber = NewType("FencingNumber", int)
LeaseName = NewType("LeaseName", str)
CommandId = NewType("CommandId", str)

GroupId = NewType("GroupId", str)
RankId = NewType("RankId", int)
ExpertId = NewType("ExpertId", int)
# Numbers the expert maps that control commits for a group.
MapEpoch = NewType("MapEpoch", int)
StepNumber = NewType("StepNumber", int)

# host:port, where host is an IP address.
Address = NewType("Address", str)

NO_REVISION = Revision(0)
FIRST_ATTEMPT = AttemptNumber(1)
