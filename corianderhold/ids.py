"""Define the types of identifiers."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
FailureDomainId = NewType("FailureDomainId", str)
RegionId = NewType("RegionId", str)
OrganisationId = NewType("OrganisationId", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
KeyId = NewType("KeyId", str)
CallId = NewType("CallId", str)
RootId = NewType("RootId", str)
ChangeId = NewType("ChangeId", str)
Incarnation = NewType("Incarnation", int)
Version = NewType("Version", int)
Offset = NewType("Offset", int)
StoreEra = NewType("StoreEra", int)
CrashId = NewType("CrashId", bytes)
Fingerprint = NewType("Fingerprint", bytes)

FIRST_ERA = StoreEra(1)
