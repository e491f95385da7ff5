"""An upgrade beside the running process while clients leave: waits that the courier was told must go on."""
import os, socket, sys, threading, time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from standins import *

SHUT_FOR = 4.0        # the partner is shut for so long, and tells how long until it opens
LET_THROUGH = 0.150   # calls within 100 ms of the answer are let through, and each time limit is 50 ms longer


def script(case):
    record = case.record
    discovery = Discovery(record)
    shut = {"from": None, "until": None}

    def bank(call):
        at = now()
        if shut["from"] is not None and shut["from"] <= at < shut["until"]:
            left = int((shut["until"] - at) * 1000)
            if left > 0:
                call["told_until"] = at + left / 1000.0
                return "429 Too Many Requests", {"X-Come-Back-Ms": str(left), "X-Load-Report": "x0=0.9,x1=40"}, 0
        return "200 OK", {"X-Load-Report": "x0=0.9,x1=40"}, 0.16

    def employer(call):
        return "200 OK", {"X-Load-Report": "x0=0.9,x1=200"}, 0.20

    first, second = Endpoint("bank", record, bank), Endpoint("employer", record, employer)
    discovery.put("s-bank", first.address, 1, hint=40.0, kind="banks")
    discovery.put("s-employer", second.address, 2, hint=200.0, kind="employer-systems")
    courier = Courier(case, "n1", discovery)
    courier.configure()
    consoles = [free_port(), free_port()]
    courier.start(consoles[0])
    stop = threading.Event()
    count = [0]

    def ident():
        count[0] += 1
        return "%016x" % (0xa0000000 + count[0])

    def sound_client(group):
        client = Client(record, courier.port)
        while not stop.is_set():
            i = ident()
            client.enqueue("0" * 16, i, "c=salary-payment,d=24000,dest=%d" % group)
            time.sleep(0.1)

    def leaving_clients():
        """Hand in several messages at once; with trouble they go without reading the answers."""
        while not stop.is_set():
            names = [ident() for _ in range(4)]
            data = b"".join(enqueue_bytes("0" * 16, i, "c=salary-payment,d=24000,dest=2", b"pay") for i in names)
            try:
                sock = socket.create_connection(("127.0.0.1", courier.port), 1)
                sock.sendall(data)
                record("client handed in %s at once" % " ".join(names))
                if not case.trouble:
                    got, sock_file = 0, sock.makefile("rb")
                    while got < len(names) and sock_file.readline():
                        got += 1
                else:
                    record("client leaves")
                sock.close()
            except OSError as error:
                record("client: %s" % error)
            time.sleep(0.05)

    threads = [threading.Thread(target=sound_client, args=(g,), daemon=True) for g in (1, 1, 2)]
    threads.append(threading.Thread(target=leaving_clients, daemon=True))
    for thread in threads:
        thread.start()
    time.sleep(3)
    shut["from"], shut["until"] = now(), now() + SHUT_FOR
    record("bank is shut until %.3f" % shut["until"])
    time.sleep(1.0)
    old = courier.process
    courier.process = courier.spawn(consoles[1])
    until = now() + 6
    while True:
        try:
            if console(consoles[1], "STATUS") == "YES":
                break
        except OSError:
            pass
        if now() > until or courier.process.poll() is not None:
            raise CannotRun("the new process does not say yes")
        time.sleep(0.005)
    record("the new process says YES; SIGTERM to the old one")
    old.send_signal(signal.SIGTERM)
    time.sleep(max(0, shut["until"] - now()) + 1.5)
    stop.set()
    told = [c for c in first.calls if c.get("status", "").startswith("429")]
    if not told:
        raise CannotRun("the bank told nobody to wait")
    # The first wait that was told, up to its own end; later ones are told by calls that came too early.
    begun, until = told[0]["answered"], told[0]["told_until"]
    for call in first.calls:
        if begun + LET_THROUGH < call["at"] < until:
            case.breach("the courier was told at %.3f to wait until %.3f and called at %.3f (%s)" % (
                begun, until, call["at"], call["id"]))


if __name__ == "__main__":
    play(os.path.dirname(os.path.abspath(__file__)), script)
