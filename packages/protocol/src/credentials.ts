/** Mutual TLS between instances. */

/** Key, certificate and authority, each PEM; both sides of a connection prove themselves. */
export interface PeerCredentials {
    key: string;
    certificate: string;
    authority: string;
}
