"""Requests through a gateway: complete answers, correct refusals, at most one run."""

import asyncio

import pytest

from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import make_content
from tests.common.http import RawCaller, ask, write_request
from tests.hosted.sites import LONG, SHORT, address_of, count_runs, make_stream, on_site, script


@on_site()
async def test_each_kind_of_request_gets_its_own_complete_answer(site):
    for path, request_id, headers, wanted in (
        ("/verdict/a", "v1", {"X_Token_Usage": LONG}, make_stream("v1")),
        ("/chat/a", "c1", {"X_Token_Usage": SHORT}, make_stream("c1")),
        ("/goal/a", "g1", {}, make_content("g1")),
        ("/card/a", "k1", {"method": "GET"}, make_content("k1")),
    ):
        answer = await ask(address_of(site), path, request_id, **headers)
        assert (answer.status, answer.whole, answer.body) == (200, True, wanted), path
        assert answer.headers["x-request-id"] == request_id
        assert answer.headers["x-server-signature"] == "stand-in"
        assert count_runs(site, request_id) == 1


@on_site()
async def test_a_long_prompt_is_prefilled_by_one_engine_and_answered_by_another(site):
    await ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=LONG)
    stages = [
        (headers.get("x-stage"), "x-kv-source" in headers)
        for engine in ("e0", "e1", "e2")
        for name, headers in site.upstreams[engine].arrivals
    ]
    assert stages == [("prefill", False), (None, True)]
    assert site.upstreams["e0"].handles == {}


@on_site(engines=("prefill", "prefill", "decode"))
async def test_an_engine_gets_the_address_to_fetch_a_cached_prefix_from(site):
    parts = "aa:4000,bb:4000,{}:1000"
    for number in range(2):
        await ask(
            address_of(site), "/chat/a", f"c{number}", X_Token_Usage=LONG, X_Model="m",
            X_Prompt_Prefix=parts.format(f"f{number}"),
        )  # fmt: skip
    first = next(site.upstreams[name] for name in ("e0", "e1") if site.upstreams[name].arrivals)
    other = next(site.upstreams[name] for name in ("e0", "e1") if name != first.instance)
    # The first engine refuses, so that the other one has to prefill.
    first.script.steps.append("busy")
    answer = await ask(
        address_of(site), "/chat/a", "c2", X_Token_Usage=LONG, X_Model="m",
        X_Prompt_Prefix=parts.format("f2"),
    )  # fmt: skip
    assert answer.status == 200
    fetched = [headers.get("kv-fetch") for _, headers in other.arrivals]
    sources = {site.addresses[first.instance], site.addresses["e2"]}
    assert len(fetched) == 1
    assert set(fetched) <= sources


@on_site()
async def test_a_short_prompt_goes_directly_to_a_decode_engine(site):
    await ask(address_of(site), "/chat/a", "c1", X_Token_Usage=SHORT)
    assert site.upstreams["e0"].arrivals == []


@on_site()
async def test_internal_headers_of_callers_are_dropped(site):
    await ask(
        address_of(site), "/goal/a", "g1", X_Stage="prefill", X_Kv_Source="1.2.3.4:5/h",
        X_Expect_Instance="nobody", X_Request_Priority="0", X_Deadline_Ms="1500",
        X_Kv_Hold="h", X_Pin_Ms="9", X_Kv_Backup="1.2.3.4:5", Kv_Fetch="1.2.3.4:5",
        X_Expect_Version="7", X_Other="stays",
    )  # fmt: skip
    (arrival,) = [a for u in site.upstreams.values() for a in u.arrivals]
    headers = arrival[1]
    for name in ("x-stage", "x-kv-source", "x-kv-hold", "x-pin-ms", "x-kv-backup", "kv-fetch",
                 "x-expect-version"):  # fmt: skip
        assert name not in headers, name
    assert headers["x-expect-instance"] in ("s0", "s1")
    assert headers["x-other"] == "stays"
    assert 0 < int(headers["x-deadline-ms"]) <= 1500


@pytest.mark.parametrize(
    ("path", "step", "status", "runs"),
    [
        ("/goal/a", "busy", 200, 1),
        ("/goal/a", "reset", 502, 0),
        ("/goal/a", "reset-after", 502, 1),
        ("/goal/a", "crossed", 502, 1),
        ("/goal/a", "unsigned", 502, 1),
        ("/goal/a", "fail", 500, 1),
        ("/card/a", "busy", 200, 1),
        ("/card/a", "reset", 200, 1),
        ("/card/a", "reset-after", 200, 2),
        ("/card/a", "crossed", 200, 2),
        ("/card/a", "unsigned", 200, 2),
        ("/card/a", "fail", 200, 2),
        ("/card/a", "silent", 200, 2),
        ("/chat/a", "reset", 502, 0),
        ("/verdict/a", "reset", 200, 1),
    ],
)
@on_site()
async def test_a_request_that_may_have_run_is_repeated_only_if_it_is_idempotent(
    site, path, step, status, runs
):
    script(site, "s" if path[1] in "gc" and path != "/chat/a" else "e", step)
    headers = {"X_Token_Usage": SHORT} if path in ("/chat/a", "/verdict/a") else {}
    answer = await ask(address_of(site), path, "r1", X_Deadline_Ms="1500", **headers)
    assert answer.status == status
    assert count_runs(site, "r1") == runs
    if status == 502:
        assert "retry-after" not in answer.headers


@on_site(plain=1)
async def test_a_refusal_has_a_retry_time_and_means_that_nothing_ran(site):
    script(site, "s", "busy", "busy", "busy", "busy")
    answer = await ask(address_of(site), "/goal/a", "g1")
    assert answer.status == 503
    assert 0 < answer.retry_after < 2
    assert count_runs(site, "g1") == 0


@on_site()
async def test_a_request_that_may_have_run_is_never_refused_as_not_run(site):
    script(site, "s", "reset-after", "busy", "busy", "busy")
    answer = await ask(address_of(site), "/goal/a", "g1")
    assert answer.status == 502
    assert count_runs(site, "g1") == 1


@on_site()
async def test_a_request_ends_with_an_error_at_its_routes_timeout(site):
    site.routes[2]["timeoutMs"] = 150
    site.declare()
    gateway = site.gateways["g0"].gateway
    await wait_until(lambda: gateway.config_version == 6, "second version")
    script(site, "s", "silent")
    answer = await ask(address_of(site), "/goal/a", "g1")
    assert answer.status == 504
    assert count_runs(site, "g1") == 1


@on_site()
async def test_a_resumable_stream_continues_at_another_engine_within_one_answer(site):
    script(site, "e", "", "cut")
    answer = await ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=LONG)
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == make_stream("v1")
    assert count_runs(site, "v1") == 3 - 1


@on_site()
async def test_a_broken_stream_that_may_not_be_resumed_is_cut_for_the_caller_too(site):
    script(site, "e", "cut")
    answer = await ask(address_of(site), "/chat/a", "c1", X_Token_Usage=SHORT)
    assert (answer.status, answer.whole) == (200, False)
    assert count_runs(site, "c1") == 1


@pytest.mark.parametrize(("path", "tokens"), [("/verdict/a", LONG), ("/chat/a", SHORT)])
@on_site()
async def test_work_stops_at_the_engine_when_the_caller_disconnects(site, path, tokens):
    for upstream in site.upstreams.values():
        upstream.hold.clear()
    caller = await RawCaller.connect(address_of(site))
    caller.send(write_request(path, "r1", X_Token_Usage=tokens))
    arrived = [u for n, u in site.upstreams.items() if n.startswith("e")]
    await wait_until(lambda: any(u.arrivals for u in arrived), "arrival")
    caller.close()
    await wait_until(lambda: any("r1" in u.cancelled for u in arrived), "cancellation")
    gateway = site.gateways["g0"].gateway
    await wait_until(lambda: gateway.count_open_requests() == 0, "open work to end")


@pytest.mark.parametrize(("share", "status", "runs"), [(0.0, 503, 0), (5.0, 200, 1)])
@on_site(engines=("prefill", "prefill", "decode"))
async def test_a_rejected_prefill_counts_as_one_repeat_and_the_next_one_as_none(
    site, share, status, runs
):
    budgets = site.gateways["g0"].gateway._budgets
    budgets.change(share, 0.0, 10.0)
    script(site, "e", "busy")
    answer = await ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=LONG)
    assert (answer.status, count_runs(site, "v1")) == (status, runs)
    now = asyncio.get_running_loop().time()
    assert budgets.find("model").count_repeats(now) == 1


@on_site()
async def test_an_unused_handle_is_freed(site):
    script(site, "e", "", "busy", "busy", "busy")
    answer = await ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=LONG)
    assert answer.status == 503
    await wait_until(lambda: site.upstreams["e0"].freed, "freed handle")
    assert site.upstreams["e0"].handles == {}


@on_site()
async def test_an_instance_that_was_replaced_at_its_address_gets_no_second_request(site):
    other = site.upstreams["s0"]
    other.instance = "s0-new"
    # Equally loaded instances are chosen at random.
    for number in range(64):
        answer = await ask(address_of(site), "/goal/a", f"g{number}")
        assert answer.status == 200
        if not site.gateways["g0"].gateway.knows_instance("s0"):
            break
    assert not any(name == "s0" for name, _ in other.arrivals)
    assert site.gateways["g0"].gateway.knows_instance("s0") is False


@on_site()
async def test_unknown_paths_get_404_and_known_ones_the_longest_prefix(site):
    assert (await ask(address_of(site), "/nothing/a", "x1")).status == 404
    site.routes.append({**site.routes[2], "name": "deep", "pathPrefix": "/goal/deep/",
                        "service": "model", "type": "streaming"})  # fmt: skip
    site.declare()
    await wait_until(lambda: site.gateways["g0"].gateway.config_version == 6, "second version")
    answer = await ask(address_of(site), "/goal/deep/x", "x2", X_Token_Usage=SHORT)
    assert answer.body == make_stream("x2")


@on_site()
async def test_requests_on_one_connection_reuse_one_upstream_connection(site):
    opened = site.gateways["g0"].gateway.count_opened_connections
    # A host that starts asks each of the three engines once for its cached parts.
    await wait_until(lambda: opened() >= 3, "engines asked")
    before = opened()
    caller = await RawCaller.connect(address_of(site))
    for number in range(10):
        caller.send(write_request("/card/a", f"k{number}", method="GET"))
        answer = await caller.read_answer()
        assert answer.body == make_content(f"k{number}")
    caller.close()
    assert opened() - before <= 2


@on_site()
async def test_many_requests_at_once_each_get_their_own_answer(site):
    async def check_answer(number):
        kind = number % 3
        name = f"r{number}"
        if kind == 0:
            answer = await ask(address_of(site), "/card/a", name, method="GET")
            return answer.status == 503 or answer.body == make_content(name)
        path = "/verdict/a" if kind == 1 else "/chat/a"
        tokens = LONG if kind == 1 else SHORT
        answer = await ask(address_of(site), path, name, X_Token_Usage=tokens)
        return answer.status == 503 or answer.body == make_stream(name)

    assert all(await asyncio.gather(*(check_answer(number) for number in range(120))))


@on_site(plain=1)
async def test_requests_that_callers_break_off_do_not_eject_an_upstream(site):
    for number in range(8):
        caller = await RawCaller.connect(address_of(site))
        head = write_request("/goal/a", f"g{number}", method="POST").decode()
        head = head.replace("Content-Length: 0", "Transfer-Encoding: chunked")
        caller.send(head.encode() + b"3\r\nabc\r\n")
        await wait_until(
            lambda: site.gateways["g0"].gateway.count_open_requests() == 1, "open work"
        )
        caller.send(b"zz\r\n")
        assert (await caller.read_answer()).status in (400, 502)
        caller.close()
    assert not site.gateways["g0"].gateway.is_ejected("s0")


@on_site()
async def test_latencies_and_results_are_on_the_metrics_page(site):
    await ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=LONG)
    await ask(address_of(site), "/nothing/a", "x1")
    address = site.gateways["g0"].metrics_address
    page = (await ask(address, "/metrics", "m1", method="GET")).body.decode()
    for line in (
        'swifttrestle_gateway_requests_total{code="OK",route="verdict"} 1',
        'swifttrestle_gateway_requests_total{code="UNKNOWN_SERVICE",route=""} 1',
        'swifttrestle_gateway_first_byte_seconds_count{kind="stream"} 1',
        'swifttrestle_gateway_read_seconds_bucket{le="+Inf"} 1',
        "swifttrestle_config_version 3",
        "swifttrestle_live_hosts 1",
    ):
        assert line in page, line
    state = await ask(address, "/debug/state", "d1", method="GET")
    assert b'"instances"' in state.body


def test_the_demo_of_the_hosted_path_succeeds():
    from swifttrestle_standins.hosted import demo

    assert asyncio.run(demo.run()) == 0


@on_site()
async def test_a_repeatable_request_is_answered_although_all_idle_connections_are_dead(site):
    # Opens connections to all upstreams, so that the first attempt uses a dead one.
    for number in range(8):
        assert (await ask(address_of(site), "/card/a", f"c{number}")).status == 200
    site.blackhole_connections()
    answer = await ask(address_of(site), "/card/a", "after")
    assert answer.status == 200
