package frostrelay.adapter;

import frostrelay.policy.api.PolicyActions;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;

/** Collects the actions of one batch as a reply frame. */
final class ReplyWriter {
    static final int HEADER_BYTES = 8;
    static final int ACTION_BYTES = 32;
    private static final byte SUBSCRIBE = 64;
    private static final byte FAIL = 65;
    private static final byte SEND = 67;
    private static final byte SET_TIMER = 68;
    private static final byte SEND_MESSAGE = 69;
    private static final byte CLOSE_IDLE = 72;
    private static final byte CANCEL = 74;
    private static final byte REJECT = 75;

    private byte[] bytes = new byte[1 << 16];
    private ByteBuffer buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    private int recordCount;
    private byte[] tail = new byte[1 << 12];
    private int tailLength;

    void begin() {
        recordCount = 0;
        tailLength = 0;
    }

    /** Completes the frame and writes it out. */
    void finish(OutputStream out) throws IOException {
        int length = HEADER_BYTES + recordCount * ACTION_BYTES;
        buffer.putInt(0, length + tailLength - 4);
        buffer.putInt(4, recordCount);
        out.write(bytes, 0, length);
        out.write(tail, 0, tailLength);
        out.flush();
    }

    private int appendRecord(byte code, int balancer) {
        int offset = HEADER_BYTES + recordCount++ * ACTION_BYTES;
        if (offset + ACTION_BYTES > bytes.length) {
            bytes = Arrays.copyOf(bytes, bytes.length * 2);
            buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        }
        Arrays.fill(bytes, offset, offset + ACTION_BYTES, (byte) 0);
        bytes[offset] = code;
        buffer.putInt(offset + 1, balancer);
        return offset;
    }

    /** Sends bytes to another instance, by its number. */
    void sendMessage(int balancer, int receiver, byte[] data, int length) {
        if (tailLength + length > tail.length) {
            tail = Arrays.copyOf(tail, Math.max(2 * tail.length, tailLength + length));
        }
        System.arraycopy(data, 0, tail, tailLength, length);
        int offset = appendRecord(SEND_MESSAGE, balancer);
        buffer.putInt(offset + 5, receiver);
        buffer.putInt(offset + 9, tailLength);
        buffer.putInt(offset + 13, length);
        tailLength += length;
    }

    /** The actions of one instance. */
    PolicyActions actionsOf(int balancer) {
        return new PolicyActions() {
            @Override
            public void send(long requestId, long serverId, long abandonAtNanos) {
                int offset = appendRecord(SEND, balancer);
                buffer.putLong(offset + 5, requestId);
                buffer.putLong(offset + 13, abandonAtNanos);
                buffer.putInt(offset + 21, (int) serverId);
                buffer.putShort(offset + 25, (short) (serverId >>> 32));
            }

            @Override
            public void cancel(long requestId, int attempt) {
                int offset = appendRecord(CANCEL, balancer);
                buffer.putLong(offset + 5, requestId);
                buffer.putShort(offset + 13, (short) attempt);
            }

            @Override
            public void reject(long requestId, long retryAfterNanos) {
                int offset = appendRecord(REJECT, balancer);
                buffer.putLong(offset + 5, requestId);
                buffer.putLong(offset + 13, retryAfterNanos);
            }

            @Override
            public void fail(long requestId) {
                int offset = appendRecord(FAIL, balancer);
                buffer.putLong(offset + 5, requestId);
            }

            @Override
            public void scheduleTimer(long atNanos, int token) {
                int offset = appendRecord(SET_TIMER, balancer);
                buffer.putLong(offset + 5, atNanos);
                buffer.putInt(offset + 13, token);
            }

            @Override
            public void closeIdleConnections(long serverId) {
                int offset = appendRecord(CLOSE_IDLE, balancer);
                buffer.putInt(offset + 5, (int) serverId);
                buffer.putShort(offset + 9, (short) (serverId >>> 32));
            }

            @Override
            public void subscribe() {
                int offset = appendRecord(SUBSCRIBE, balancer);
                bytes[offset + 5] = 1;
            }
        };
    }
}
