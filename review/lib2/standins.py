"""Stand-ins for the cases of this review: endpoints of partners, discovery's agent, clients, and the courier's process.

Loopback sockets and threads only. Everything is recorded, with seconds since the start, in the record of the case.
"""
import json, os, shutil, signal, socket, struct, subprocess, sys, tempfile, threading, time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


class Record:
    """What was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.file, self.lock = open(path, "w"), threading.Lock()

    def __call__(self, text, at=None):
        with self.lock:
            self.file.write("%9.4f %s\n" % (now() if at is None else at, text))
            self.file.flush()


def run_command():
    """The command `run` of the deploy file."""
    for line in open(os.path.join(ROOT, "deploy", "balancer.toml")):
        if line.split("=")[0].strip() == "run":
            return line.split('"')[1]
    raise CannotRun("deploy/balancer.toml has no run")


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def free_port():
    """A port that was free a moment ago."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def reset(sock):
    """Closes a connection with a reset, as the end of a process does."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
    except OSError:
        pass


def read_head(sock, buffer):
    """Reads a head; returns (head, rest) or None at the end of the connection."""
    while b"\r\n\r\n" not in buffer:
        data = sock.recv(65536)
        if not data:
            return None
        buffer += data
    head, rest = buffer.split(b"\r\n\r\n", 1)
    return head, rest


def read_http(sock, buffer=b""):
    """Reads a request; returns (first line, headers, body, rest) or None."""
    got = read_head(sock, buffer)
    if got is None:
        return None
    head, rest = got
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        data = sock.recv(65536)
        if not data:
            return None
        rest += data
    return lines[0], headers, rest[:length], rest[length:]


class Server:
    """A listener on a loopback address with a thread for each connection."""

    def __init__(self, serve, port=0):
        self.serve, self.port, self.open, self.lock = serve, port, set(), threading.Lock()
        self.listener = None
        self.up()

    def up(self):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind(("127.0.0.1", self.port))
        s.listen(512)
        self.port, self.listener = s.getsockname()[1], s
        threading.Thread(target=self.accept, args=(s,), daemon=True).start()

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    def accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if listener is not self.listener:
                    reset(sock)
                    continue
                self.open.add(sock)
            threading.Thread(target=self.run, args=(sock,), daemon=True).start()

    def run(self, sock):
        try:
            self.serve(sock)
        except OSError:
            pass
        with self.lock:
            self.open.discard(sock)
        try:
            sock.close()
        except OSError:
            pass

    def down(self):
        """As the end of the process: open connections are reset, new ones refused."""
        with self.lock:
            listener, self.listener = self.listener, None
            open_now, self.open = list(self.open), set()
        if listener:
            # A listener wakes its accept only when it is shut down first.
            try:
                listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            listener.close()
        for sock in open_now:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RD)
            except OSError:
                pass
            reset(sock)


class Endpoint:
    """An endpoint of a partner. `answer(call)` gives (status line, headers, delay in seconds), or None for no answer."""

    def __init__(self, name, record, answer):
        self.name, self.record, self.answer, self.calls = name, record, answer, []
        self.lock = threading.Lock()
        self.server = Server(self.serve)

    @property
    def address(self):
        return self.server.address

    def serve(self, sock):
        buffer = b""
        while True:
            got = read_http(sock, buffer)
            if got is None:
                return
            line, headers, body, buffer = got
            call = {"at": now(), "endpoint": self.name, "id": headers.get("x-call-id"),
                    "key": headers.get("idempotency-key"), "peer": sock.getpeername()[1], "body": body}
            with self.lock:
                self.calls.append(call)
            self.record("%s call %s peer=%d" % (self.name, call["id"], call["peer"]))
            given = self.answer(call)
            if given is None:
                # Silent: the connection stays open until the courier ends it.
                while sock.recv(65536):
                    pass
                self.record("%s the courier gave up %s" % (self.name, call["id"]))
                return
            status, extra, delay = given
            if delay:
                sock.settimeout(delay)
                try:
                    if sock.recv(65536, socket.MSG_PEEK) == b"":
                        self.record("%s the courier gave up %s" % (self.name, call["id"]))
                        return
                    time.sleep(max(0, call["at"] + delay - now()))
                except socket.timeout:
                    pass
                sock.settimeout(None)
            text = "".join("%s: %s\r\n" % pair for pair in extra.items())
            payload = ("%s %s" % (call["id"], self.name)).encode()
            sock.sendall(("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n" % (status, text, len(payload))).encode() + payload)
            call["answered"], call["status"] = now(), status
            self.record("%s answered %s %s %s" % (self.name, call["id"], status, extra or ""))


class Discovery:
    """Discovery's agent: the list, watches and notices."""

    def __init__(self, record, name="discovery", rev=41):
        self.record, self.name, self.rev, self.targets = record, name, rev, {}
        self.history, self.notices, self.lock = [], [], threading.Condition()
        self.list_calls = 0
        self.server = Server(self.serve)

    @property
    def address(self):
        return self.server.address

    def put(self, uid, endpoint, group, state="SERVING", hint=1.0, kind="banks"):
        entry = {"uid": uid, "endpoint": endpoint, "az": "kingston-dc", "model": kind, "pod_group": group,
                 "state": state, "capacity_hint": hint, "boot_ms": 0}
        with self.lock:
            self.rev += 1
            self.targets[uid] = entry
            self.history.append((self.rev, dict(entry)))
            if state == "DELETED":
                del self.targets[uid]
            self.lock.notify_all()
            self.record("%s rev %d: %s %s" % (self.name, self.rev, uid, state))

    def change(self, uid, state):
        entry = self.targets[uid]
        self.put(uid, entry["endpoint"], entry["pod_group"], state, entry["capacity_hint"], entry["model"])

    def whole(self):
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    def serve(self, sock):
        got = read_http(sock)
        if got is None:
            return
        line, headers, body, _ = got
        method, path, _ = line.split(" ")
        if method == "POST" and path == "/v1/notices":
            for text in body.decode().splitlines():
                notice = json.loads(text)
                with self.lock:
                    self.notices.append((now(), notice))
                self.record("%s notice %s" % (self.name, text))
            sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            return
        if "watch=1" not in path:
            with self.lock:
                text = json.dumps(self.whole())
                self.list_calls += 1
            self.record("%s whole list fetched" % self.name)
            sock.sendall(("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)).encode())
            return
        after = int(path.split("after=")[1].split("&")[0])
        self.record("%s watch after %d" % (self.name, after))
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

        def chunk(text):
            sock.sendall(("%x\r\n%s\r\n" % (len(text), text)).encode())

        with self.lock:
            seen = self.rev
            # A version that this discovery does not know gets the whole list.
            first = self.history[0][0] - 1 if self.history else self.rev
            known = first <= after <= self.rev
            changes = [entry for rev, entry in self.history if rev > after]
            text = {"rev": self.rev, "all": not known, "targets": changes if known else list(self.targets.values())}
        if changes or not known:
            chunk(json.dumps(text) + "\n")
            self.record("%s told rev %d%s" % (self.name, text["rev"], " (all)" if text["all"] else ""))
        while True:
            with self.lock:
                self.lock.wait_for(lambda: self.rev > seen, 2.0)
                changes = [entry for rev, entry in self.history if rev > seen]
                seen = self.rev
            if changes:
                chunk(json.dumps({"rev": seen, "all": False, "targets": changes}) + "\n")
                self.record("%s told rev %d" % (self.name, seen))
            else:
                chunk("\n")


def enqueue_bytes(key, ident, fields, body):
    parts = [b"ENQUEUE", key.encode(), ident.encode(), fields.encode(), body]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)


class Client:
    """A client with one connection at a time, which it opens again when the courier closes it."""

    def __init__(self, record, port):
        self.record, self.port, self.sock, self.buffer = record, port, None, b""

    def line(self, data, wait):
        """Sends bytes and reads one line; a close that crosses the request has it sent once more."""
        for again in (False, True):
            fresh = self.sock is None
            if fresh:
                self.sock = socket.create_connection(("127.0.0.1", self.port), wait)
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.buffer = b""
            self.sock.settimeout(wait)
            try:
                self.sock.sendall(data)
                while b"\r\n" not in self.buffer:
                    got = self.sock.recv(4096)
                    if not got:
                        raise ConnectionResetError("closed")
                    self.buffer += got
                line, self.buffer = self.buffer.split(b"\r\n", 1)
                return line.decode()
            except socket.timeout:
                self.close()
                return None
            except OSError:
                self.close()
                if again or fresh:
                    raise
        return None

    def close(self):
        if self.sock:
            self.sock.close()
            self.sock = None

    def enqueue(self, key, ident, fields, body=b"pay"):
        at = now()
        try:
            answer = self.line(enqueue_bytes(key, ident, fields, body), 0.4)
        except OSError as error:
            answer = "!%s" % error
        self.record("client handed in %s key=%s %s -> %s" % (ident, key, fields, answer), at)
        return answer


def console(port, line, wait=1.0):
    """One call to the operators' console."""
    with socket.create_connection(("127.0.0.1", port), wait) as sock:
        sock.settimeout(wait)
        sock.sendall((line + "\n").encode())
        data = b""
        while True:
            got = sock.recv(65536)
            if not got:
                return data.decode().strip()
            data += got


SETTINGS = {
    "Balancers": 2, "ClientHabits": {"MarksRetry": True},
    "Discovery": "push", "Family": "deliver",
    "FamilyInfo": {"CallsOut": 28, "Decay": "line", "KindBatch": [1, 1], "OwnLimits": [False, False]},
    "Lanes": [
        {"Aim": 3000000000, "Deadline": 24000000000, "Effect": "idempotency_key", "Group": "all", "LateShare": 0.5,
         "Name": "pay-notice", "OneAtATime": True, "RepeatWindow": 10000000000, "Stream": False, "Worth": 1.0},
        {"Aim": 3000000000, "Deadline": 24000000000, "Effect": "non_idempotent", "Group": "all", "LateShare": 0.4,
         "Name": "salary-payment", "RepeatWindow": 5000000000, "Stream": False, "Worth": 3.0}],
    "Locality": 0, "MachineTypes": ["banks", "employer-systems"],
    "Permissions": {"Cancel": True, "ConnIdle": 15000000000, "ConnectTimeout": 1000000000, "MaxRetryAfter": 2000000000,
                    "MaxStreams": 1, "MostHeld": 519, "Peers": False, "Probes": False, "RetryAfter": False,
                    "SecondCopies": False, "SendCap": 8},
    "Report": {"Fields": ["x0", "x1"], "Source": "piggyback"},
    "Rules": {"AnswerSlack": 20000000, "AskEvery": 10000000000, "Cold": 14000000000, "ColdFrom": 0.16, "Fall": 2000000000,
              "OrderSettle": 100000000, "StopSendingWithin": 2000000000, "TipMultiple": 2.5},
    "WeightSource": "nominal", "WorthBy": "request", "Zones": ["kingston-dc"],
}


class Courier:
    """A courier: its folder, its configuration and its process, started with the deploy file's command."""

    def __init__(self, case, name, discovery, settings=None, known=None):
        self.case, self.name, self.discovery = case, name, discovery
        self.folder = os.path.join(case.folder, name)
        os.makedirs(os.path.join(self.folder, "state"))
        self.port = free_port()
        self.settings = settings or SETTINGS
        self.known = known or discovery.whole()
        self.process, self.starts = None, 0

    def configure(self, discovery=None):
        config = {"name": self.name, "listen": "127.0.0.1:%d" % self.port,
                  "discovery": (discovery or self.discovery).address, "seed": os.urandom(8).hex(),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
                  "known": self.known, "settings": self.settings}
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w") as file:
            json.dump(config, file)
        os.rename(path + ".new", path)

    def spawn(self, console_port=None):
        """Starts a process; does not wait for it."""
        self.starts += 1
        env = dict(os.environ, BALANCER_NAME=self.name, BALANCER_LISTEN="127.0.0.1:%d" % self.port,
                   BALANCER_DISCOVERY=self.discovery.address, BALANCER_STATE=os.path.join(self.folder, "state"),
                   BALANCER_CONFIG=os.path.join(self.folder, "config.json"))
        env.pop("BALANCER_CONSOLE", None)
        env.setdefault("GULLCART_LOG", "info")
        if console_port:
            env["BALANCER_CONSOLE"] = "127.0.0.1:%d" % console_port
        log = open(os.path.join(self.folder, "log-%d" % self.starts), "w")
        process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=env, stdout=log, stderr=log)
        self.case.processes.append(process)
        self.case.logs.append(log.name)
        self.case.record("%s started, pid %d" % (self.name, process.pid))
        return process

    def start(self, console_port=None):
        self.process = self.spawn(console_port)
        self.wait_ready()

    def wait_ready(self):
        until = now() + 10
        while now() < until:
            try:
                if Client(self.case.record, self.port).line(b"*1\r\n$4\r\nPING\r\n", 1.0) == "+PONG":
                    self.case.record("%s answers PING" % self.name)
                    return
            except OSError:
                pass
            if self.process.poll() is not None:
                break
            time.sleep(0.02)
        raise CannotRun("%s does not get ready" % self.name)

    def signal(self, which):
        self.case.record("%s gets %s" % (self.name, signal.Signals(which).name))
        self.process.send_signal(which)


class Case:
    """A run of a case: its folder, its record, its processes, and what ends it."""

    def __init__(self, place):
        self.place = os.path.abspath(place)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="gullcart-review-")
        self.record = Record(os.path.join(self.place, "record.txt"))
        self.processes, self.logs, self.breaches = [], [], []
        self.record("trouble: %s" % ("yes" if self.trouble else "no"))

    def breach(self, text):
        self.breaches.append(text)
        self.record("BROKEN %s" % text)

    def end(self, code):
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except OSError:
                    pass
                process.wait()
        for log in self.logs:
            for line in open(log, errors="replace"):
                if " INFO " not in line or "load" not in line and "journal appended" not in line:
                    self.record("log %s: %s" % (os.path.basename(os.path.dirname(log)), line.rstrip()))
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record("exit %d" % code)
        try:
            sys.stdout.flush()
        except OSError:
            pass
        os._exit(code)


def play(place, script):
    """Plays a case: exit code 1 if a rule was broken, 0 if it held, 2 if the case could not run."""
    case = Case(place)

    def cut_off(why):
        case.record("cut off: %s" % why)
        case.end(1 if case.breaches else 2)

    guard = threading.Timer(115, cut_off, ["out of time"])
    guard.daemon = True
    guard.start()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda which, _: cut_off(signal.Signals(which).name))
    failed = None
    try:
        script(case)
    except CannotRun as error:
        failed = "cannot run: %s" % error
    except Exception as error:  # noqa: whatever else fails is no verdict either
        failed = "cannot run: %r" % error
    # What was broken before a failure stays broken.
    code = 1 if case.breaches else 2 if failed else 0
    if failed:
        case.record(failed)
    try:
        for text in case.breaches[:5]:
            print("broken: " + text)
        print(failed or ("" if case.breaches else "held"))
    except OSError:
        pass
    case.end(code)
