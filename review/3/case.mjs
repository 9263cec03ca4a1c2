/** One upstream of four sends a malformed header in some of its responses. */
import * as lost from "../harness/lost.mjs";
import { hasTrouble, runCase } from "../harness/runCase.mjs";

/** One of so many answers is spoiled: 2 in 100. */
const answersPerFault = 50;

await runCase(import.meta.dirname, record => {
    let answers = 0;
    return lost.runLostCheck({
        record,
        hasTrouble,
        troubleMilliseconds: 5500,
        callersPerInstance: 10,
        slots: 8,
        serviceMilliseconds: 60,
        createFaulty: isActive => ({
            respond: (request, response) => {
                answers += isActive() ? 1 : 0;
                if (!isActive() || answers % answersPerFault !== 0) {
                    return false;
                }
                record(`desk-1: spoils its answer to ${request.headers["request-id"]}`);
                response.socket.write(
                    `HTTP/1.1 200 OK\r\nRequest-Id: ${request.headers["request-id"]}\r\nResponse-Signature: signed.desk-1\r\n`
                        + "PHP Warning: cache is stale\r\nContent-Length: 2\r\n\r\nok",
                );
                return true;
            },
        }),
    });
});
