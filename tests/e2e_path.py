"""The complete request path through real processes, with each kind of request.

Guards against parts that pass their own tests but fail together.
"""
import json
import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))

from deployment import Deployment, streamed_text  # noqa: E402
from processes import Failure, wait_until  # noqa: E402

KEY = "head-office-key"


def expect(what, got, wanted):
    if got != wanted:
        raise Failure(f"{what}: got {got}, wanted {wanted}")


def error_of(answer):
    return json.loads(answer[2])["error"]


def check_answers(d):
    status, headers, body = d.chat("entry-1", KEY, "small", "Tag this")
    expect("unary status", status, 200)
    expect("runs", headers["X-Chivefront-Runs"], "1")
    if not json.loads(body)["choices"][0]["message"]["content"]:
        raise Failure("the answer is empty")
    status, _, body = d.chat("entry-2", KEY, "large", "Draft", stream=True)
    expect("streamed status", status, 200)
    text, ended, extra = streamed_text(body)
    expect("end marker", ended, True)
    expect("version in the stream", extra.get("version"), "large-1")
    if not text:
        raise Failure("the stream is empty")


def check_timeline(d):
    """The time line of a request covers entry and agent in causal order."""
    request = d.chat("entry-1", KEY, "small", "Trace")[1]["X-Chivefront-Request"]
    files = [os.path.join(d.folder, name + ".events") for name in d.processes
             if os.path.exists(os.path.join(d.folder, name + ".events"))]
    text = d.must_ctl("timeline", "--request", request, *files)
    places = [text.find(event) for event in (
        "request_received", "dispatched", "dispatch_received",
        "sent_to_upstream", "run_ended", "billed", "answered")]
    if min(places) < 0 or places != sorted(places):
        raise Failure(f"the time line is not in causal order: {text}")


def check_refusals(d):
    """Bad input gives a typed error that says that the request was not run."""
    path = "/v1/chat/completions"
    good = {"model": "small", "messages": [{"role": "user", "content": "x"}]}
    table = [
        ("unknown team", path, good, "no-such-key", {}, 401, "unknown_team"),
        ("not allowed", path, {**good, "model": "large"}, "trial-key", {}, 403,
         "not_allowed"),
        ("unknown model", path, {**good, "model": "huge"}, KEY, {}, 404,
         "unknown_model"),
        ("bad JSON", path, b"{\"model\": ", KEY, {}, 400, "bad_request"),
        ("unknown field", path, {**good, "modle": 1}, KEY, {}, 400,
         "bad_request"),
        ("wrong type", path, {**good, "stream": "yes"}, KEY, {}, 400,
         "bad_request"),
        ("bad header", path, good, KEY, {"X-Chivefront-Deadline-Ms": "soon"},
         400, "bad_header"),
        ("large body", path, b"x" * (9 << 20), KEY, {}, 413, "body_too_large"),
        ("unknown path", "/v2/other", good, KEY, {}, 404, "unknown_route"),
        ("unknown service", "/v1/services/none/x", good, KEY, {}, 404,
         "unknown_route"),
        ("service not allowed", "/v1/services/booking/x", good, "trial-key", {},
         403, "not_allowed"),
    ]
    for what, target, body, key, headers, status, kind in table:
        answer = d.call("entry-1", target, body, key, headers)
        expect(f"{what}: status", answer[0], status)
        error = error_of(answer)
        expect(f"{what}: type", error["type"], kind)
        expect(f"{what}: run", error["run"], "not_run")


def check_sessions_and_bookings(d):
    versions = [d.chat(f"entry-{1 + turn % 2}", KEY, "small", f"turn {turn}",
                       {"X-Chivefront-Session": "s-1"})[1]
                ["X-Chivefront-Version"] for turn in range(3)]
    expect("versions of one session", len(set(versions)), 1)
    answers = [d.call(entry, "/v1/services/booking/bookings", {"kitchen": 7},
                      KEY, {"Idempotency-Key": "k-1"})
               for entry in ("entry-1", "entry-2")]
    expect("booking status", [a[0] for a in answers], [200, 200])
    expect("same outcome", answers[0][2], answers[1][2])
    other = d.call("entry-1", "/v1/services/booking/bookings", {"kitchen": 8},
                   KEY, {"Idempotency-Key": "k-1"})
    expect("same key, other body", error_of(other)["type"], "key_reused")


def check_domain(d):
    d.must_ctl("out", "domain", "riga-c")
    answer = d.chat("entry-2", KEY, "large", "x")
    expect("domain out", (answer[0], error_of(answer)["run"]),
           (503, "not_run"))
    d.must_ctl("in", "domain", "riga-c")
    wait_until(lambda: d.chat("entry-2", KEY, "large", "x")[0] == 200, 20,
               "domain back")


def main():
    with Deployment(sys.argv[1]) as d:
        d.start()
        d.load_catalogue(os.path.join(ROOT, "examples", "salins.json"))
        check_answers(d)
        check_timeline(d)
        check_refusals(d)
        check_sessions_and_bookings(d)
        check_domain(d)
        expect("graceful stop", d.stop(), [])
    print("e2e_path passed")
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Failure as failure:
        print("e2e_path failed:", failure)
        sys.exit(1)
