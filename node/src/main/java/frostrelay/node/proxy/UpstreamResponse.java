package frostrelay.node.proxy;

import frostrelay.policy.api.ResponseSource;

/** A server's successful response, in whatever protocol. Immutable. */
public interface UpstreamResponse {
    /** The value of a read; null for a long one, which is streamed. */
    byte[] data();

    /** The complete length of the value in bytes. */
    long valueBytes();

    /** The receipt that confirms a write. */
    String receipt();

    /** Where the value came from, if the server reports it. */
    ResponseSource source();

    /** The server's load report; null if it sent none. */
    String loadReport();
}
