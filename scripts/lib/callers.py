"""Callers for the soak test: they send requests and record the results."""
import collections
import http.client
import json
import random
import threading
import time
import urllib.error

from deployment import streamed_text

PAYING = ["head-office", "riga-centre", "jelgava", "liepaja", "ventspils",
          "daugavpils", "valmiera", "cesis"]


class CallerResult:
    """The result of one request as its caller saw it."""

    def __init__(self, kind, entry, team):
        self.kind = kind
        self.entry = entry
        self.team = team
        self.started = time.time()
        self.ended = None
        self.status = 0
        self.request = ""
        self.run = ""          # not_run, done, unknown; empty for an answer
        self.error = ""
        self.version = ""
        self.runs = 0
        self.session = ""
        self.key = ""
        self.whole = False     # the answer arrived completely
        self.cut = False       # the connection ended without a whole answer
        self.wanted_tokens = 0
        self.tokens = 0


class Balancer:
    """Sends callers to entries whose readiness probe succeeds."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.ready = set()
        self.stopping = False

    def start(self):
        threading.Thread(target=self._probe, daemon=True).start()

    def _probe(self):
        while not self.stopping:
            for name in self.deployment.entries:
                good = self.deployment.admin(name, "/readyz")[0] == 200
                (self.ready.add if good else self.ready.discard)(name)
            time.sleep(0.1)

    def pick(self, rng):
        ready = sorted(self.ready)
        return rng.choice(ready) if ready else None


class Callers:
    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.balancer = Balancer(deployment)
        self.seed = seed
        self.lock = threading.Lock()
        self.results = []
        self.stopping = False
        self.threads = []
        self.session_generation = collections.Counter()  # of sessions

    def start(self):
        self.balancer.start()
        senders = [self._send_chat] * 8 + [self._send_booking] * 3 + \
            [self._send_forbidden]
        for number, send_one in enumerate(senders):
            rng = random.Random(self.seed * 1000 + number)
            thread = threading.Thread(target=self._loop,
                                      args=(send_one, rng, number), daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join(timeout=90)
        self.balancer.stopping = True

    def _loop(self, send_one, rng, number):
        turn = 0
        while not self.stopping:
            entry = self.balancer.pick(rng)
            if entry is None:
                time.sleep(0.05)
                continue
            send_one(rng, number, turn, entry)
            turn += 1
            # The rate stays below the teams' limits, so that failures come
            # from the injected faults.
            time.sleep(rng.uniform(0.05, 0.25))

    def _record(self, result):
        result.ended = time.time()
        with self.lock:
            self.results.append(result)

    def _send(self, result, path, body, headers):
        """Fills result; returns the body of a 200 answer, else None."""
        try:
            status, answered, text = self.deployment.call(
                result.entry, path, body, result.team + "-key", headers,
                seconds=40)
        except (urllib.error.URLError, ConnectionError) as error:
            # A refused connection was never accepted; any other was broken off.
            reason = getattr(error, "reason", error)
            result.cut = not isinstance(reason, ConnectionRefusedError)
            result.error = repr(error)
            return None
        except (OSError, http.client.HTTPException) as error:
            result.cut = True
            result.error = repr(error)
            return None
        result.status = status
        result.request = answered.get("X-Chivefront-Request", "")
        if status == 200:
            result.version = answered.get("X-Chivefront-Version", "")
            result.runs = int(answered.get("X-Chivefront-Runs", 1))
            return text
        try:
            error = json.loads(text)["error"]
            result.error = error["type"]
            result.run = error["run"]
            result.request = error.get("request_id", result.request)
        except (ValueError, KeyError):
            result.error = "untyped: " + repr(text[:80])
        return None

    def _send_chat(self, rng, number, turn, entry):
        free = number == 7
        team = "trial" if free else PAYING[number % len(PAYING)]
        result = CallerResult("chat", entry, team)
        model = "small" if free else rng.choice(["small", "small", "large"])
        headers = {}
        if number % 2 == 0:
            result.session = self._session(number, model)
            headers["X-Chivefront-Session"] = result.session
        stream = rng.random() < 0.5
        result.wanted_tokens = rng.randint(5, 60)
        text = self._send(result, "/v1/chat/completions", {
            "model": model, "stream": stream,
            "max_tokens": result.wanted_tokens,
            "messages": [{"role": "user", "content": f"turn {turn}"}]}, headers)
        if text is not None:
            self._read_answer(result, text, stream)
        if result.error == "version_withdrawn":
            self.session_generation[(number, model)] += 1  # a new conversation
        self._record(result)

    def _session(self, number, model):
        return f"session-{number}-{model}-{self.session_generation[(number, model)]}"

    @staticmethod
    def _read_answer(result, text, stream):
        if stream:
            words, ended, extra = streamed_text(text)
            result.whole = ended
            result.version = extra.get("version", result.version)
            result.cut = False
        else:
            words = json.loads(text)["choices"][0]["message"]["content"]
            result.whole = True
        result.tokens = len(words.split())

    def _send_booking(self, rng, number, turn, entry):
        key = f"key-{self.seed}-{number}-{turn}"
        for _ in range(rng.choice([1, 1, 2, 3])):
            result = CallerResult("booking", entry,
                                  PAYING[number % len(PAYING)])
            result.key = key
            text = self._send(result, "/v1/services/booking/bookings",
                              {"kitchen": key}, {"Idempotency-Key": key})
            result.whole = text is not None
            self._record(result)
            entry = self.balancer.pick(rng) or entry

    def _send_forbidden(self, rng, number, turn, entry):
        del rng, number, turn
        result = CallerResult("forbidden", entry, "trial")
        self._send(result, "/v1/chat/completions", {
            "model": "large",
            "messages": [{"role": "user", "content": "x"}]}, {})
        self._record(result)
