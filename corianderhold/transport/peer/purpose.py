"""Classify the frames on a link for traffic counting."""

from corianderhold.protocol.peer.control import ControlTopic
from corianderhold.protocol.peer.messages import (
    ControlReply,
    ControlRequest,
    Hello,
    Message,
    Ping,
    Pong,
)
from corianderhold.traffic import Purpose

PURPOSES: dict[ControlTopic, Purpose] = {
    topic: Purpose(topic.value)
    for topic in ControlTopic
    if topic is not ControlTopic.UNKNOWN
}


def classify_frame(message: Message, last_request: ControlRequest | None) -> Purpose:
    """Return the purpose of a frame; that of a control reply is its request's."""
    if isinstance(message, Hello | Ping | Pong):
        return Purpose.LINK
    if isinstance(message, ControlReply) and last_request is not None:
        message = last_request
    if isinstance(message, ControlRequest):
        return PURPOSES.get(message.topic, Purpose.LINK)
    return Purpose.CALL
