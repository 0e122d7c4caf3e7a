package frostrelay.adapter;

import frostrelay.policy.api.PolicyActions;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;

/**
 * Collects the actions that answer one frame of events as a reply frame: a header, action records
 * of fixed size, and a tail with the bytes of messages. All numbers are little-endian.
 */
final class ReplyWriter {
    /** Header: length of the rest of the frame, number of records, both int32. */
    static final int HEADER_BYTES = 8;

    static final int ACTION_BYTES = 32;
    private static final int FRAME_LENGTH = 0;
    private static final int RECORD_COUNT = 4;
    private static final int LENGTH_PREFIX_BYTES = 4;

    /** Fields of all actions, relative to the record's offset. */
    private static final int ACTION_CODE = 0;

    private static final int BALANCER = 1;

    /** Fields of single actions, relative to the record's offset. */
    private static final int REQUEST_ID = 5;

    private static final int SEND_ABANDON_AT = 13;
    private static final int SEND_SERVER_ID = 21;
    private static final int CANCEL_ATTEMPT = 13;
    private static final int REJECT_RETRY_AFTER = 13;
    private static final int TIMER_AT = 5;
    private static final int TIMER_TOKEN = 13;
    private static final int MESSAGE_RECEIVER = 5;
    private static final int MESSAGE_TAIL_OFFSET = 9;
    private static final int MESSAGE_LENGTH = 13;
    private static final int CLOSE_SERVER_ID = 5;
    private static final int SUBSCRIBE_ENABLED = 5;

    private static final int INITIAL_RECORD_BYTES = 1 << 16;
    private static final int INITIAL_TAIL_BYTES = 1 << 12;

    private byte[] bytes = new byte[INITIAL_RECORD_BYTES];
    private ByteBuffer buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    private int recordCount;
    private byte[] tail = new byte[INITIAL_TAIL_BYTES];
    private int tailLength;

    /** Begins an empty reply frame. */
    void begin() {
        recordCount = 0;
        tailLength = 0;
    }

    /** Completes the frame and writes it to the stream. */
    void finish(OutputStream out) throws IOException {
        int length = HEADER_BYTES + recordCount * ACTION_BYTES;
        buffer.putInt(FRAME_LENGTH, length + tailLength - LENGTH_PREFIX_BYTES);
        buffer.putInt(RECORD_COUNT, recordCount);
        out.write(bytes, 0, length);
        out.write(tail, 0, tailLength);
        out.flush();
    }

    private int appendRecord(ActionCode action, int balancer) {
        int offset = HEADER_BYTES + recordCount++ * ACTION_BYTES;
        if (offset + ACTION_BYTES > bytes.length) {
            bytes = Arrays.copyOf(bytes, bytes.length * 2);
            buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        }
        Arrays.fill(bytes, offset, offset + ACTION_BYTES, (byte) 0);
        bytes[offset + ACTION_CODE] = action.code;
        buffer.putInt(offset + BALANCER, balancer);
        return offset;
    }

    /** Adds an action that sends bytes to another balancer. */
    void sendMessage(int balancer, int receiver, byte[] data, int length) {
        if (tailLength + length > tail.length) {
            tail = Arrays.copyOf(tail, Math.max(2 * tail.length, tailLength + length));
        }
        System.arraycopy(data, 0, tail, tailLength, length);
        int offset = appendRecord(ActionCode.SEND_MESSAGE, balancer);
        buffer.putInt(offset + MESSAGE_RECEIVER, receiver);
        buffer.putInt(offset + MESSAGE_TAIL_OFFSET, tailLength);
        buffer.putInt(offset + MESSAGE_LENGTH, length);
        tailLength += length;
    }

    /** Writes a server id of 48 bits. */
    private void putServerId(int offset, long serverId) {
        buffer.putInt(offset, (int) serverId);
        buffer.putShort(offset + Integer.BYTES, (short) (serverId >>> Integer.SIZE));
    }

    /** Returns the interface through which one balancer adds its actions to the frame. */
    PolicyActions actionsOf(int balancer) {
        return new PolicyActions() {
            @Override
            public void send(long requestId, long serverId, long abandonAtNanos) {
                int offset = appendRecord(ActionCode.SEND, balancer);
                buffer.putLong(offset + REQUEST_ID, requestId);
                buffer.putLong(offset + SEND_ABANDON_AT, abandonAtNanos);
                putServerId(offset + SEND_SERVER_ID, serverId);
            }

            @Override
            public void cancel(long requestId, int attempt) {
                int offset = appendRecord(ActionCode.CANCEL, balancer);
                buffer.putLong(offset + REQUEST_ID, requestId);
                buffer.putShort(offset + CANCEL_ATTEMPT, (short) attempt);
            }

            @Override
            public void reject(long requestId, long retryAfterNanos) {
                int offset = appendRecord(ActionCode.REJECT, balancer);
                buffer.putLong(offset + REQUEST_ID, requestId);
                buffer.putLong(offset + REJECT_RETRY_AFTER, retryAfterNanos);
            }

            @Override
            public void fail(long requestId) {
                int offset = appendRecord(ActionCode.FAIL, balancer);
                buffer.putLong(offset + REQUEST_ID, requestId);
            }

            @Override
            public void scheduleTimer(long atNanos, int token) {
                int offset = appendRecord(ActionCode.SET_TIMER, balancer);
                buffer.putLong(offset + TIMER_AT, atNanos);
                buffer.putInt(offset + TIMER_TOKEN, token);
            }

            @Override
            public void closeIdleConnections(long serverId) {
                int offset = appendRecord(ActionCode.CLOSE_IDLE_CONNECTIONS, balancer);
                putServerId(offset + CLOSE_SERVER_ID, serverId);
            }

            @Override
            public void subscribe() {
                int offset = appendRecord(ActionCode.SUBSCRIBE, balancer);
                bytes[offset + SUBSCRIBE_ENABLED] = 1;
            }
        };
    }
}
