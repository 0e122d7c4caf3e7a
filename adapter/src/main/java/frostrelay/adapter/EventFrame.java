package frostrelay.adapter;

import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.ResponseSource;
import frostrelay.policy.api.Server;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * One frame of events: a header, event records of fixed size, and a tail with data that the records
 * refer to. All numbers are little-endian. Records are addressed by their offset in the frame, and
 * the fields below by their offset in the record.
 */
final class EventFrame {
    static final int EVENT_BYTES = 56;

    /** Longest accepted frame; a larger length indicates corrupt input. */
    static final int MAX_FRAME_BYTES = 1 << 28;

    private static final int LENGTH_PREFIX_BYTES = 4;

    /** Header: number of records (int32), current time in nanoseconds (int64). */
    private static final int RECORD_COUNT = 0;

    private static final int NOW_NANOS = 4;
    private static final int HEADER_BYTES = 12;

    /** Offsets of fields that all events have. */
    private static final int EVENT_CODE = 0;

    private static final int BALANCER = 1;

    /** Offsets in a server list event: the list's number and the tail range of its entries. */
    private static final int LIST_NUMBER = 1;

    private static final int LIST_ENTRIES = 2;

    /** Size and offsets of an entry of a server list. */
    private static final int LIST_ENTRY_BYTES = 24;

    private static final int ENTRY_SERVER_ID = 0;
    private static final int ENTRY_ZONE = 6;
    private static final int ENTRY_KIND = 8;
    private static final int ENTRY_CELL = 9;
    private static final int ENTRY_STATE = 11;
    private static final int ENTRY_WEIGHT = 12;
    private static final int ENTRY_STARTED_AT = 16;

    /** Offset in a timer event. */
    private static final int TIMER_TOKEN = 5;

    /** Offsets in a peer message event. */
    private static final int MESSAGE_SENDER = 5;

    private static final int MESSAGE_DATA = 7;

    /** Offsets in an endpoint update event. */
    private static final int UPDATE_MODE = 5;

    private static final int UPDATE_REVISION = 6;
    private static final int UPDATE_LIST_NUMBER = 14;

    /** Offsets in a balancer's start event. */
    private static final int START_SEED = 5;

    private static final int START_SETTINGS = 13;

    /** Offsets in all events that refer to a request. */
    private static final int REQUEST_ID = 5;

    private static final int ATTEMPT = 13;

    /** Offsets in an attempt outcome event, and the most values of its load report. */
    private static final int OUTCOME_RESULT = 21;

    private static final int OUTCOME_DURATION = 23;
    private static final int OUTCOME_COMPLETED = 31;
    private static final int OUTCOME_SOURCE = 32;
    private static final int OUTCOME_REPORT_LENGTH = 36;
    private static final int OUTCOME_REPORT = 37;
    private static final int MAX_REPORT_LENGTH = 4;

    /** Offsets in a request event, and the bits of its attributes. */
    private static final int REQUEST_CLASS = 13;

    private static final int REQUEST_TENANT = 15;
    private static final int REQUEST_KEY = 19;
    private static final int REQUEST_DEADLINE = 27;
    private static final int REQUEST_WORK = 35;
    private static final int REQUEST_ATTRIBUTES = 47;
    private static final int ATTRIBUTE_WORK_HINT = 1;
    private static final int ATTRIBUTE_CLIENT_RETRY = 2;
    private static final int ATTRIBUTE_WRITE = 4;

    private static final EndpointUpdateMode[] UPDATE_MODES = EndpointUpdateMode.values();
    private static final EndpointState[] STATES = EndpointState.values();
    private static final float[] NO_REPORT = new float[0];

    /** A range within the frame, validated against the frame's end; {@code count} is in items. */
    private record TailRange(int offset, int count) {}

    private final ByteBuffer frame;
    private final int tailOffset;

    private EventFrame(byte[] body) {
        frame = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        long end = HEADER_BYTES + (recordCount() & 0xffffffffL) * EVENT_BYTES;
        if (end > body.length) {
            throw new WireException(
                    "a frame of "
                            + body.length
                            + " bytes cannot hold "
                            + Integer.toUnsignedString(recordCount())
                            + " records");
        }
        tailOffset = (int) end;
    }

    /**
     * Reads the next frame; returns null at the end of input.
     *
     * @throws WireException if the frame is truncated or its length is out of range
     * @throws IOException if reading fails
     */
    static EventFrame read(InputStream in) throws IOException {
        byte[] lengthPrefix = in.readNBytes(LENGTH_PREFIX_BYTES);
        if (lengthPrefix.length == 0) {
            return null;
        }
        if (lengthPrefix.length < LENGTH_PREFIX_BYTES) {
            throw new WireException("end of input inside a frame's length");
        }
        int length = ByteBuffer.wrap(lengthPrefix).order(ByteOrder.LITTLE_ENDIAN).getInt();
        if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
            throw new WireException(
                    "frame length "
                            + Integer.toUnsignedString(length)
                            + " is out of range: allowed "
                            + HEADER_BYTES
                            + " to "
                            + MAX_FRAME_BYTES
                            + " bytes");
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new WireException(
                    "end of input inside a frame: " + body.length + " of " + length + " bytes");
        }
        return new EventFrame(body);
    }

    int recordCount() {
        return frame.getInt(RECORD_COUNT);
    }

    long nowNanos() {
        return frame.getLong(NOW_NANOS);
    }

    /** Returns the offset of the record with this index. */
    int recordOffset(int index) {
        return HEADER_BYTES + index * EVENT_BYTES;
    }

    EventCode eventCode(int offset) {
        return EventCode.of(frame.get(offset + EVENT_CODE) & 0xff);
    }

    int balancer(int offset) {
        return frame.getInt(offset + BALANCER);
    }

    int listNumber(int offset) {
        return frame.get(offset + LIST_NUMBER) & 0xff;
    }

    List<Server> serverList(int offset) {
        TailRange range = tailRange(offset + LIST_ENTRIES, LIST_ENTRY_BYTES);
        List<Server> servers = new ArrayList<>(range.count());
        for (int i = 0; i < range.count(); i++) {
            servers.add(server(range.offset() + i * LIST_ENTRY_BYTES));
        }
        return List.copyOf(servers);
    }

    private Server server(int offset) {
        int state = frame.get(offset + ENTRY_STATE);
        if (state < 0 || state >= STATES.length) {
            throw new WireException("unknown endpoint state " + state);
        }
        return new Server(
                serverId(offset + ENTRY_SERVER_ID),
                unsignedShort(offset + ENTRY_ZONE),
                frame.get(offset + ENTRY_KIND) & 0xff,
                unsignedShort(offset + ENTRY_CELL),
                STATES[state],
                frame.getFloat(offset + ENTRY_WEIGHT),
                frame.getLong(offset + ENTRY_STARTED_AT));
    }

    int timerToken(int offset) {
        return frame.getInt(offset + TIMER_TOKEN);
    }

    int messageSender(int offset) {
        return unsignedShort(offset + MESSAGE_SENDER);
    }

    byte[] messageData(int offset) {
        TailRange range = tailRange(offset + MESSAGE_DATA, 1);
        return Arrays.copyOfRange(frame.array(), range.offset(), range.offset() + range.count());
    }

    EndpointUpdateMode updateMode(int offset) {
        int mode = frame.get(offset + UPDATE_MODE) & 0xff;
        if (mode >= UPDATE_MODES.length) {
            throw new WireException("unknown endpoint update mode " + mode);
        }
        return UPDATE_MODES[mode];
    }

    long updateRevision(int offset) {
        return frame.getLong(offset + UPDATE_REVISION);
    }

    int updateListNumber(int offset) {
        return frame.get(offset + UPDATE_LIST_NUMBER) & 0xff;
    }

    long startSeed(int offset) {
        return frame.getLong(offset + START_SEED);
    }

    String startSettings(int offset) {
        TailRange range = tailRange(offset + START_SETTINGS, 1);
        return new String(frame.array(), range.offset(), range.count(), StandardCharsets.UTF_8);
    }

    long requestId(int offset) {
        return frame.getLong(offset + REQUEST_ID);
    }

    int attempt(int offset) {
        return unsignedShort(offset + ATTEMPT);
    }

    /**
     * Reads a client request.
     *
     * @param classCount number of request classes in the balancer's settings
     */
    Request request(int offset, int classCount) {
        int attributes = frame.get(offset + REQUEST_ATTRIBUTES);
        int requestClass = unsignedShort(offset + REQUEST_CLASS);
        if (requestClass >= classCount) {
            throw new WireException("unknown request class " + requestClass);
        }
        boolean hasWorkHint = (attributes & ATTRIBUTE_WORK_HINT) != 0;
        return new Request(
                requestId(offset),
                requestClass,
                frame.getInt(offset + REQUEST_TENANT) & Integer.MAX_VALUE,
                frame.getLong(offset + REQUEST_KEY),
                frame.getLong(offset + REQUEST_DEADLINE),
                hasWorkHint ? frame.getLong(offset + REQUEST_WORK) : 0,
                (attributes & ATTRIBUTE_CLIENT_RETRY) != 0,
                (attributes & ATTRIBUTE_WRITE) != 0);
    }

    AttemptOutcome outcome(int offset) {
        AttemptResult result = attemptResult(unsignedShort(offset + OUTCOME_RESULT));
        return new AttemptOutcome(
                requestId(offset),
                attempt(offset),
                result,
                frame.getLong(offset + OUTCOME_DURATION),
                frame.get(offset + OUTCOME_COMPLETED) != 0,
                responseSource(frame.getInt(offset + OUTCOME_SOURCE)),
                loadReport(offset));
    }

    private static AttemptResult attemptResult(int code) {
        return switch (code) {
            case 200 -> AttemptResult.OK;
            case 204 -> AttemptResult.MISS;
            case 408 -> AttemptResult.TIMEOUT;
            case 409 -> AttemptResult.SUPERSEDED;
            case 429 -> AttemptResult.REJECTED;
            case 444 -> AttemptResult.CANCELLED;
            case 502 -> AttemptResult.ERROR;
            case 520 -> AttemptResult.RESET;
            case 521 -> AttemptResult.CONNECT_FAILED;
            default -> throw new WireException("unknown attempt outcome " + code);
        };
    }

    private static ResponseSource responseSource(int code) {
        return switch (code) {
            case 1 -> ResponseSource.CACHE;
            case 2, 3 -> ResponseSource.ORIGIN;
            default -> ResponseSource.UNKNOWN;
        };
    }

    private float[] loadReport(int offset) {
        int length = Math.min(MAX_REPORT_LENGTH, frame.get(offset + OUTCOME_REPORT_LENGTH) & 0xff);
        if (length == 0) {
            return NO_REPORT;
        }
        float[] loadReport = new float[length];
        for (int i = 0; i < length; i++) {
            loadReport[i] = frame.getFloat(offset + OUTCOME_REPORT + Float.BYTES * i);
        }
        return loadReport;
    }

    /** Reads a range of the tail: its start in bytes and its count of items, both uint32. */
    private TailRange tailRange(int fieldOffset, int itemBytes) {
        long start = frame.getInt(fieldOffset) & 0xffffffffL;
        long count = frame.getInt(fieldOffset + Integer.BYTES) & 0xffffffffL;
        if (tailOffset + start + count * itemBytes > frame.capacity()) {
            throw new WireException(
                    "a record points past the end of its frame: offset "
                            + start
                            + " bytes, length "
                            + count
                            + " items of "
                            + itemBytes
                            + " bytes");
        }
        return new TailRange((int) (tailOffset + start), (int) count);
    }

    /** Reads a server id of 48 bits. */
    private long serverId(int offset) {
        return frame.getInt(offset) & 0xffffffffL
                | (long) unsignedShort(offset + Integer.BYTES) << Integer.SIZE;
    }

    private int unsignedShort(int offset) {
        return frame.getShort(offset) & 0xffff;
    }
}
