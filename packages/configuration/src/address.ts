/** Network addresses of the form `IP:PORT`. */
import * as net from "node:net";
import * as zod from "zod";

/** An IP address and a port. */
export interface Address {
    host: string;
    port: number;
}

const maxPort = 65535;
const portPattern = /^\d+$/;

/**
 * Parses an address.
 *
 * @param text - `127.0.0.1:80` or `[::1]:80`
 * @returns the address, or undefined if the text is not an IP address and a port
 */
export const parseAddress = (text: string): Address | undefined => {
    const separator = text.lastIndexOf(":");
    const host = text.slice(0, Math.max(separator, 0)).replace(/^\[(.*)\]$/, "$1");
    const portText = text.slice(separator + 1);
    const port = Number(portText);
    const isValid = net.isIP(host) !== 0 && portPattern.test(portText) && port > 0 && port <= maxPort;
    return isValid ? { host, port } : undefined;
};

/** Schema of an address, which stays a string after validation. */
export const addressSchema = zod.string().refine(text => parseAddress(text) !== undefined, {
    error: "expected an IP number and a port, such as 127.0.0.1:8080",
});
