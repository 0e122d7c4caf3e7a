package frostrelay.node.proxy;

import frostrelay.policy.api.ResponseSource;

/** A successful response of a server, independent of the protocol. Immutable. */
public interface UpstreamResponse {
    /** Returns the value of a read, or null if the value is long and therefore streamed. */
    byte[] data();

    /** Returns the complete length of the value in bytes. */
    long valueBytes();

    /** Returns the receipt that confirms a write. */
    String receipt();

    /** Returns the source of the value, if the server reports it. */
    ResponseSource source();

    /** Returns the server's load report, or null if the response contains none. */
    String loadReport();
}
