"""A scheduler in one process: links `Balancer` to a transport of its own, here a fake one."""

import heapq

from violetsaddle import Balancer, Entry, RequestClass, Settings


class FakeTransport:
    """Keeps its own clock; every worker answers after 20 ms."""

    def __init__(self) -> None:
        self.now = 1_000
        self.queue: list[tuple[int, int, str, int, int]] = []
        self.served: dict[int, int] = {}
        self.attempts: dict[str, int] = {}

    def send(self, job: str, worker: int, until: int, by: int = 0) -> None:
        number = self.attempts.get(job, 0)
        self.attempts[job] = number + 1
        heapq.heappush(self.queue, (self.now + 20_000, len(self.attempts), job, number, worker))

    def refuse(self, job: str, retry_after: int) -> None:
        print(f"{job} refused, retry after {retry_after} us")

    def fail(self, job: str) -> None:
        print(f"{job} failed")

    def cancel(self, job: str, attempt: int) -> None: ...

    def probe(self, worker: int) -> None: ...

    def tell(self, data: bytes, to: int | None = None) -> None: ...

    def watch(self) -> None: ...

    def arm(self, time: int) -> None:
        heapq.heappush(self.queue, (time, 0, "", -1, 0))


def main() -> None:
    transport = FakeTransport()
    told = Settings(classes=(RequestClass(aim=100_000, deadline=1_000_000),))
    balancer = Balancer(told, seed=1, now=transport.now, act=transport)
    balancer.members(transport.now, "snapshot", [Entry(worker=n, started=0) for n in (11, 12, 13)])
    for n in range(30):
        balancer.request(transport.now, f"job-{n}", cls=0, remaining=1_000_000)
    while transport.queue and transport.now < 900_000:
        transport.now, _, job, number, worker = heapq.heappop(transport.queue)
        if not job:
            balancer.wake(transport.now)
            continue
        transport.served[worker] = transport.served.get(worker, 0) + 1
        balancer.answer(transport.now, job, number, "ok", 20_000, True, None)
    assert sum(transport.served.values()) == 30 and len(transport.served) == 3
    print("served by worker:", dict(sorted(transport.served.items())))


if __name__ == "__main__":
    main()
