"""Identifiers that must not be mixed up."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
Incarnation = NewType("Incarnation", str)
BackendServerId = NewType("BackendServerId", str)
RegionName = NewType("RegionName", str)
ZoneName = NewType("ZoneName", str)
OrganisationId = NewType("OrganisationId", str)
RequestId = NewType("RequestId", str)
RecordName = NewType("RecordName", str)
Revision = NewType("Revision", int)
# Version of a backend server's software, not of a model's weights; empty where none is named.
SoftwareVersion = NewType("SoftwareVersion", str)
# Identifies a part of a prompt: equal in each request that names it, whatever the other parts.
PartDigest = NewType("PartDigest", bytes)

# A model's or a service's name as requests give it.
TargetName = NewType("TargetName", str)
