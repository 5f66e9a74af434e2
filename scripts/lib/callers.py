"""Callers for the soak: they send requests and write down what they heard."""
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


class Heard:
    """One answer, or the lack of one, as a caller saw it."""

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
        self.whole = False
        self.cut = False       # the connection broke during the answer
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
        self.heard = []
        self.stopping = False
        self.threads = []
        self.generation = collections.Counter()  # of sessions

    def start(self):
        self.balancer.start()
        jobs = [self._chat] * 8 + [self._booking] * 3 + [self._forbidden]
        for number, job in enumerate(jobs):
            rng = random.Random(self.seed * 1000 + number)
            thread = threading.Thread(target=self._loop, args=(job, rng, number),
                                      daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join(timeout=90)
        self.balancer.stopping = True

    def _loop(self, job, rng, number):
        turn = 0
        while not self.stopping:
            entry = self.balancer.pick(rng)
            if entry is None:
                time.sleep(0.05)
                continue
            job(rng, number, turn, entry)
            turn += 1
            # Stays below the teams' limits, so that faults are what is seen.
            time.sleep(rng.uniform(0.05, 0.25))

    def _note(self, heard):
        heard.ended = time.time()
        with self.lock:
            self.heard.append(heard)

    def _send(self, heard, path, body, headers):
        """Fills heard; returns the body of a 200 answer or None."""
        try:
            status, answered, text = self.deployment.call(
                heard.entry, path, body, heard.team + "-key", headers,
                seconds=40)
        except (urllib.error.URLError, ConnectionError) as error:
            # Refused connections were never accepted; others were cut.
            reason = getattr(error, "reason", error)
            heard.cut = not isinstance(reason, ConnectionRefusedError)
            heard.error = repr(error)
            return None
        except (OSError, http.client.HTTPException) as error:
            heard.cut = True
            heard.error = repr(error)
            return None
        heard.status = status
        heard.request = answered.get("X-Chivefront-Request", "")
        if status == 200:
            heard.version = answered.get("X-Chivefront-Version", "")
            heard.runs = int(answered.get("X-Chivefront-Runs", 1))
            return text
        try:
            error = json.loads(text)["error"]
            heard.error = error["type"]
            heard.run = error["run"]
            heard.request = error.get("request_id", heard.request)
        except (ValueError, KeyError):
            heard.error = "untyped: " + repr(text[:80])
        return None

    def _chat(self, rng, number, turn, entry):
        free = number == 7
        team = "trial" if free else PAYING[number % len(PAYING)]
        heard = Heard("chat", entry, team)
        model = "small" if free else rng.choice(["small", "small", "large"])
        headers = {}
        if number % 2 == 0:
            heard.session = self._session(number, model)
            headers["X-Chivefront-Session"] = heard.session
        stream = rng.random() < 0.5
        heard.wanted_tokens = rng.randint(5, 60)
        text = self._send(heard, "/v1/chat/completions", {
            "model": model, "stream": stream,
            "max_tokens": heard.wanted_tokens,
            "messages": [{"role": "user", "content": f"turn {turn}"}]}, headers)
        if text is not None:
            self._read_answer(heard, text, stream)
        if heard.error == "version_withdrawn":
            self.generation[(number, model)] += 1  # a new conversation
        self._note(heard)

    def _session(self, number, model):
        return f"session-{number}-{model}-{self.generation[(number, model)]}"

    @staticmethod
    def _read_answer(heard, text, stream):
        if stream:
            words, ended, extra = streamed_text(text)
            heard.whole = ended
            heard.version = extra.get("version", heard.version)
            heard.cut = False
        else:
            words = json.loads(text)["choices"][0]["message"]["content"]
            heard.whole = True
        heard.tokens = len(words.split())

    def _booking(self, rng, number, turn, entry):
        key = f"key-{self.seed}-{number}-{turn}"
        for _ in range(rng.choice([1, 1, 2, 3])):
            heard = Heard("booking", entry, PAYING[number % len(PAYING)])
            heard.key = key
            text = self._send(heard, "/v1/services/booking/bookings",
                              {"kitchen": key}, {"Idempotency-Key": key})
            heard.whole = text is not None
            self._note(heard)
            entry = self.balancer.pick(rng) or entry

    def _forbidden(self, rng, number, turn, entry):
        del rng, number, turn
        heard = Heard("forbidden", entry, "trial")
        self._send(heard, "/v1/chat/completions", {
            "model": "large",
            "messages": [{"role": "user", "content": "x"}]}, {})
        self._note(heard)
