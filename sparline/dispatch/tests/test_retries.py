from types import SimpleNamespace

import pytest

from sparline.dispatch._dispatcher import _may_retry, _Progress
from sparline.requests import Reason, TargetKind, not_run, unknown

BROKEN = unknown(Reason.BROKEN_IN_ANSWER)
NOT_RUN = not_run(Reason.PEER_NO_ROOM, 0)
ROWS = [
    # kind of the target, whether a head was forwarded, end of the attempt, whether it is retried
    (TargetKind.SERVICE, False, BROKEN, True),
    (TargetKind.SERVICE, False, NOT_RUN, True),
    (TargetKind.SERVICE, True, BROKEN, False),
    (TargetKind.SERVICE, True, NOT_RUN, False),
    (TargetKind.ENGINE, True, BROKEN, True),
    (TargetKind.ENGINE, True, NOT_RUN, True),
]


@pytest.mark.parametrize(("kind", "head_forwarded", "end", "is_retried"), ROWS)
def test_plain_answer_that_was_begun_is_not_continued_by_another_server(
    kind, head_forwarded, end, is_retried
):
    """Guards against a second server's body behind a part of the first one's."""
    request = SimpleNamespace(kind=kind, repeatable=True, body=SimpleNamespace(replayable=True))
    progress = _Progress(0, head_forwarded=head_forwarded)
    assert _may_retry(request, progress, end) is is_retried
