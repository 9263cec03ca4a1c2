/** Some upstreams send answers without a length, and some of these are reset on the way. */
import * as callers from "../harness/caller.mjs";
import { document } from "../harness/document.mjs";
import { hasTrouble, runCase } from "../harness/runCase.mjs";
import * as sites from "../harness/site.mjs";
import * as stores from "../harness/store.mjs";
import * as upstreams from "../harness/upstream.mjs";

const upstreamCount = 4;
/** Half of the upstreams reset one of so many answers: 5 in 100. */
const answersPerFault = 20;
const faultyCount = 2;
const answerBytes = 20_000;
const troubleMilliseconds = 5000;

await runCase(import.meta.dirname, async record => {
    const store = await stores.startStore();
    store.put("keyed.op", "config", document);
    let isActive = false;
    let answers = 0;
    const whole = requestIdentifier => `${`answer to ${requestIdentifier} `.padEnd(answerBytes, "x")}.`;
    const running = [];
    for (let index = 1; index <= upstreamCount; index += 1) {
        const identifier = `desk-${index}`;
        running.push(
            await upstreams.startUpstream({
                identifier,
                service: "booking-desk",
                store,
                record,
                slots: 4,
                respond: (request, response, headers) => {
                    const requestIdentifier = request.headers["request-id"];
                    const text = whole(requestIdentifier);
                    const isFaulty = isActive && index <= faultyCount;
                    answers += isFaulty ? 1 : 0;
                    const { socket } = response;
                    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
                    const head = `HTTP/1.1 200 OK\r\n${lines}Connection: close\r\n\r\n`;
                    if (isFaulty && answers % answersPerFault === 0) {
                        record(`${identifier}: resets its answer to ${requestIdentifier} after half of it`);
                        socket.write(head + text.slice(0, answerBytes / 2), () => socket.resetAndDestroy());
                    }
                    else {
                        socket.end(head + text);
                    }
                    return true;
                },
            }),
        );
    }
    const keyed = await upstreams.startUpstream({ identifier: "roster-1", service: "roster-read", store, record, isKeyed: true });
    const site = await sites.startInstances({ count: 3, storePort: store.port, record });
    await site.waitUntilReady();
    const cut = [];
    const all = site.instances.flatMap(instance =>
        Array.from({ length: 6 }, () =>
            callers.startCaller({
                instance,
                intervalMilliseconds: 40,
                createRequest: () => ({ method: "POST", path: "/booking/visit", body: Buffer.from("visit"), deadlineMilliseconds: 1500 }),
                onResult: result => {
                    const isWhole = result.text === whole(result.requestIdentifier);
                    record(
                        `caller at ${result.instance}: ${result.requestIdentifier} got ${result.status || `no answer (${result.detail})`}, `
                            + `${result.text.length} bytes`,
                    );
                    if (result.status === 200 && !isWhole) {
                        cut.push(result);
                    }
                },
            }))
    );
    await sites.pause(5000);
    isActive = hasTrouble;
    record(isActive ? "the disruption starts" : "no disruption");
    await sites.pause(troubleMilliseconds);
    isActive = false;
    await sites.pause(500);
    await Promise.all(all.map(caller => caller.stop()));
    await site.close();
    [...running, keyed].forEach(upstream => upstream.close());
    store.close();
    return cut.map(({ requestIdentifier, text }) =>
        `MIXED: ${requestIdentifier} got 200 that looks complete, with ${text.length} of ${answerBytes + 1} bytes`
    );
});
