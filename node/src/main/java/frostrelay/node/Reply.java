package frostrelay.node;

/** What a host served a request with, whatever protocol it speaks. */
interface Reply {
    /** The value of a read; null where it is still coming, in pieces. */
    byte[] data();

    /** Bytes of the value, whole. */
    long length();

    /** What a write was confirmed with. */
    String receipt();

    /** What the host says of its load; null if it says nothing. */
    String report();
}
