/** Status lines of other protocols, which some parsers take for those of HTTP. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as test from "node:test";

const isValid = (text: string, chunkBytes: number): boolean => {
    const check = foundation.createStatusLineCheck();
    const bytes = Buffer.from(text, "latin1");
    for (let start = 0; start < bytes.length; start += chunkBytes) {
        check.add(bytes.subarray(start, start + chunkBytes));
    }
    return check.isValid();
};

const interim = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";

test.describe("the check of status lines", () => {
    const valid: [string, string][] = [
        ["of HTTP/1.1", "HTTP/1.1 200 OK\r\n\r\n"],
        ["of HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n"],
        ["behind an empty line", "\r\nHTTP/1.1 200 OK\r\n\r\n"],
        ["behind interim responses", `${interim}HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n`],
        ["with another one in its body", "HTTP/1.1 200 OK\r\n\r\nRTSP/1.0 200 OK\r\n\r\n"],
        ["with another one behind a switch of protocols", "HTTP/1.1 101 Switching\r\n\r\nRTSP/1.0 200 OK\r\n\r\n"],
        ["that has not arrived as a whole", "HTTP/1"],
    ];
    // Guards against a success in another protocol, which the parser of Node.js 20.20 takes for one of HTTP.
    const invalid: [string, string][] = [
        ["of RTSP", "RTSP/1.0 200 OK\r\n\r\n"],
        ["of ICE", "ICE/1.0 200 OK\r\n\r\n"],
        ["of RTSP behind an interim response", `${interim}RTSP/1.0 200 OK\r\n\r\n`],
        ["of a later version", "HTTP/2.0 200 OK\r\n\r\n"],
        ["of an earlier version", "HTTP/0.9 200 OK\r\n\r\n"],
        ["of a longer version", "HTTP/1.10 200 OK\r\n\r\n"],
        ["in lower case", "http/1.1 200 OK\r\n\r\n"],
        ["without a version", "HTTP 200 OK\r\n\r\n"],
    ];
    for (const [cases, expected] of [[valid, true], [invalid, false]] as const) {
        for (const [name, text] of cases) {
            test.it(`${expected ? "accepts" : "rejects"} one ${name}, wherever it is split`, () => {
                const results = Array.from({ length: text.length }, (...[, index]) => isValid(text, index + 1));
                earl.expect(results).toEqual(results.map(() => expected));
            });
        }
    }
});
