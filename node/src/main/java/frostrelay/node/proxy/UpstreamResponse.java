package frostrelay.node.proxy;

import frostrelay.policy.api.ResponseSource;

/** What a host served a request with, whatever protocol it speaks. */
public interface UpstreamResponse {
    /** The value of a read; null where it is still coming, in pieces. */
    byte[] data();

    /** Bytes of the value, whole. */
    long valueBytes();

    /** What a write was confirmed with. */
    String receipt();

    /** Where the value came from, for a host that tells. */
    ResponseSource source();

    /** What the host says of its load; null if it says nothing. */
    String loadReport();
}
