"""The demonstration of scripts/demo; every step prints what it shows."""
import json
import os
import sys
import time

from deployment import Deployment, streamed_text
from processes import Failure, wait_until

KEY = "head-office-key"


def step(text):
    print(f"\n== {text}", flush=True)


def need(condition, reason):
    if not condition:
        raise Failure(reason)


def show_answer(headers, body):
    message = json.loads(body)["choices"][0]["message"]["content"]
    print(f"   version {headers['X-Chivefront-Version']}, runs "
          f"{headers['X-Chivefront-Runs']}, cost "
          f"{headers['X-Chivefront-Cost-Micros']} micros: {message[:60]}")


def plain(d):
    step("a short tag request, answered by the small model")
    status, headers, body = d.chat("entry-1", KEY, "small", "Tag: late delivery",
                                   {"X-Chivefront-Task": "tag"})
    need(status == 200, f"status {status}: {body[:200]}")
    show_answer(headers, body)
    return headers["X-Chivefront-Request"]


def streamed(d):
    step("a long streamed answer from the large model")
    status, _, body = d.chat("entry-2", KEY, "large", "Draft a job sheet",
                             stream=True)
    need(status == 200, f"status {status}: {body[:200]}")
    text, ended, extra = streamed_text(body)
    need(ended and text, "the stream ended early")
    print(f"   {len(text)} characters, end marker seen, {extra}")


def cascade(d):
    step("a cascade: the draft of the small model is not acceptable, so the "
         "large model answers")
    for engine in ("engine-1", "engine-2"):
        d.behave(engine, bad=True)
    runs = []
    # The cascade policy draws its plans at random, so the first requests may
    # go to the large model directly, without a draft of the small one.
    for attempt in range(150):
        status, headers, body = d.chat(
            "entry-1", KEY, "auto", f"Draft the fitting plan {attempt}",
            {"X-Chivefront-Task": "job-sheet"}, max_tokens=20)
        need(status == 200, f"status {status}: {body[:200]}")
        runs.append(int(headers["X-Chivefront-Runs"]))
        if runs[-1] > 1:
            show_answer(headers, body)
            break
    for engine in ("engine-1", "engine-2"):
        d.behave(engine, bad=False)
    print(f"   runs per request: {runs}")
    return max(runs) > 1


def session(d):
    step("a session of three turns over both entries keeps its version")
    versions = []
    for turn, entry in enumerate(["entry-1", "entry-2", "entry-1"]):
        status, headers, body = d.chat(entry, KEY, "small", f"Turn {turn}",
                                       {"X-Chivefront-Session": "demo-session"})
        need(status == 200, f"status {status}: {body[:200]}")
        versions.append(headers["X-Chivefront-Version"])
    print(f"   versions: {versions}")
    need(len(set(versions)) == 1, "the session changed its version")


def booking(d):
    step("a booking sent twice with one key runs once")
    answers = []
    for entry in ("entry-1", "entry-2"):
        status, _, body = d.call(
            entry, "/v1/services/booking/bookings", {"kitchen": "K-7"}, KEY,
            {"Idempotency-Key": "booking-1"})
        need(status == 200, f"status {status}: {body[:200]}")
        answers.append(body)
    need(answers[0] == answers[1], "the two answers differ")
    history = d.history("booking-1")
    print(f"   the same answer twice: {answers[0].decode()[:60]}")
    print(f"   executions seen by the service: {history}")


def domain(d):
    step("failure domain riga-c (the large model) is taken out and brought back")
    print("  ", d.must_ctl("out", "domain", "riga-c").strip())
    status, _, body = d.chat("entry-1", KEY, "large", "Is anyone there?")
    error = json.loads(body)["error"]
    print(f"   out: {status} {error['type']}, run: {error['run']}")
    need(status == 503 and error["run"] == "not_run", f"got {status} {error}")
    print("  ", d.must_ctl("in", "domain", "riga-c").strip())
    wait_until(lambda: d.chat("entry-1", KEY, "large", "Back again")[0] == 200,
               15, "answers after the domain returned")
    print("   back: answered again")


def timeline(d, request):
    step(f"time line of request {request} over all processes")
    files = [os.path.join(d.folder, name + ".events") for name in d.processes
             if os.path.exists(os.path.join(d.folder, name + ".events"))]
    print(d.must_ctl("timeline", "--request", request, *files).rstrip())


def main():
    keep = "--keep" in sys.argv
    deployment = Deployment(sys.argv[1])
    try:
        step("starting three control processes, four agents with upstreams, "
             "two entries")
        deployment.start()
        step("loading examples/salins.json")
        deployment.load_catalogue("examples/salins.json")
        print(deployment.must_ctl("status").rstrip())
        request = plain(deployment)
        streamed(deployment)
        need(cascade(deployment), "no request was escalated")
        session(deployment)
        booking(deployment)
        domain(deployment)
        timeline(deployment, request)
        step("bills of the team")
        print(deployment.must_ctl("bills", "--team", "head-office", "--limit",
                                  "5").rstrip())
        if keep:
            callers = deployment.address("entry-1", "callers")
            step("left running; stop the processes with SIGTERM:")
            for name, process in deployment.processes.items():
                print(f"   {name} pid {process.child.pid} {process.fields}")
            print(f"   curl -s http://{callers}/v1/chat/completions "
                  f"-H 'Authorization: Bearer {KEY}' "
                  "-H 'Content-Type: application/json' -d '{\"model\": \"small\","
                  " \"messages\": [{\"role\": \"user\", \"content\": \"hello\"}]}'")
            return 0
        step("graceful shutdown")
        started = time.monotonic()
        bad = deployment.stop()
        need(not bad, f"did not stop cleanly: {bad}")
        print(f"   all processes exited with code 0 in "
              f"{time.monotonic() - started:.1f} s")
        print("\ndemo passed")
        return 0
    except (Failure, OSError, KeyError, ValueError) as error:
        print(f"\ndemo failed: {error!r}\nlogs are in {deployment.folder}")
        return 1
    finally:
        if not keep:
            deployment.kill_all()


if __name__ == "__main__":
    sys.exit(main())
