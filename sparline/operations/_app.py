"""The operators' interface: status, explain, health and metrics; nothing can be changed."""

from collections.abc import Iterable

from prometheus_client import CONTENT_TYPE_LATEST
from result import Err, Ok

from sparline._metrics import Metrics
from sparline._wsgi import Environ, StartResponse, answer_json, query_of
from sparline.operations._explain import Explainer
from sparline.operations._status import StatusBoard
from sparline.peers import Membership
from sparline.schema._messages import InstanceState


class OperationsApp:
    """Serve operators."""

    def __init__(
        self, status: StatusBoard, explainer: Explainer, membership: Membership, metrics: Metrics
    ) -> None:
        """Read from the parts of one instance."""
        self._status = status
        self._explainer = explainer
        self._membership = membership
        self._metrics = metrics

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request."""
        match environ["REQUEST_METHOD"], environ["PATH_INFO"]:
            case "GET", "/status":
                return answer_json(start_response, self._status.status())
            case "GET", "/explain":
                return self._explain(environ, start_response)
            case "GET", "/health":
                return self._health(start_response)
            case "GET", "/metrics":
                start_response("200 OK", [("Content-Type", CONTENT_TYPE_LATEST)])
                return [self._metrics.render()]
        return answer_json(
            start_response,
            {"error": "expected GET /status, /explain, /health or /metrics"},
            "404 Not Found",
        )

    def _explain(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        match self._explainer.explain(query_of(environ)):
            case Ok(explained):
                return answer_json(start_response, explained)
            case Err(reason):
                return answer_json(start_response, {"error": reason}, "400 Bad Request")
        raise AssertionError("a result is either Ok or Err")

    def _health(self, start_response: StartResponse) -> list[bytes]:
        state = self._membership.state
        status = "200 OK" if state is InstanceState.live else "503 Service Unavailable"
        return answer_json(start_response, {"state": state.value}, status)
