package review2;

import java.io.IOException;

/** Long values: a cache that gives them, and clients that read them at an even pace. */
public final class LongValues {
    public static final int VALUE_BYTES = 4 * 1024 * 1024;
    private static final int RECEIVE_BUFFER = 64 * 1024;
    private static final int PIECE = 16 * 1024;
    private static final int TIMEOUT_MILLIS = 20_000;

    /** What became of one client's values. */
    public static final class Result {
        public int whole;

        /** What is missing; null if nothing is. */
        public String cutOff;
    }

    private final byte[] value = new byte[VALUE_BYTES];
    private final Case owner;

    public LongValues(Case owner) {
        this.owner = owner;
    }

    /** Gives a value as a cache, as fast as it is taken. */
    public void handle(Cache cache, Cache.Command command) throws IOException {
        command.write("VA " + VALUE_BYTES + " O" + command.id + " h1\r\n");
        try {
            command.write(value);
            command.write("\r\n");
            owner.note(command.connection, "gave all of the value for " + command.id);
        } catch (IOException e) {
            owner.note(command.connection, "was kept from giving the value for " + command.id + ": " + e);
            throw e;
        }
    }

    /**
     * Asks for values with commands that are sent at once, and reads them.
     *
     * @param millisPerValue how long the client needs for a value, with no pause of more than a
     *     part of a second; 0 if it reads as fast as it can
     */
    public Result read(String balancer, int number, int values, double millisPerValue) {
        String name = "client " + number;
        Result result = new Result();
        int received = 0;
        boolean written = false;
        try (Client client = new Client(owner, name, balancer, RECEIVE_BUFFER)) {
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < values; i++) {
                String id = String.format("%016x", 0xe000000000000000L + number * 0x1000L + i);
                commands.append("mg " + id + " v O" + id + " Pc=leer-plantilla,t=estudio-andes,d=3000\r\n");
            }
            client.write(commands.toString());
            written = true;
            owner.note(name, "asks for " + values + " values");
            for (int i = 0; i < values; i++) {
                received = 0;
                String line = client.readLine(TIMEOUT_MILLIS);
                double firstAt = owner.now();
                if (line == null) {
                    result.cutOff = "the connection ended without an answer to command " + (i + 1);
                    return result;
                }
                if (!line.startsWith("VA ")) {
                    owner.note(name, "gets " + line);
                    continue;
                }
                double longestMillis = 0;
                for (int piece = -1; piece != 0 && received < VALUE_BYTES + 2; received += piece) {
                    double pieceAt = owner.now();
                    Case.sleep(firstAt + millisPerValue * received / VALUE_BYTES - owner.now());
                    longestMillis = Math.max(longestMillis, owner.now() - pieceAt);
                    piece = client.readBytes(Math.min(PIECE, VALUE_BYTES + 2 - received), TIMEOUT_MILLIS);
                }
                String what =
                        String.format(
                                "%d of %d bytes of value %d within %.0f ms; its longest pause between reads was %.0f ms",
                                received, VALUE_BYTES + 2, i + 1, owner.now() - firstAt, longestMillis);
                owner.note(name, "reads " + what);
                if (received < VALUE_BYTES + 2) {
                    result.cutOff = what;
                    return result;
                }
                result.whole++;
            }
        } catch (IOException e) {
            if (written) {
                result.cutOff = received + " bytes or more, then " + e;
            } else {
                owner.note(name, "not judged, its commands were not written whole: " + e);
            }
        }
        return result;
    }
}
