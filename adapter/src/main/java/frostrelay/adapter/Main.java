package frostrelay.adapter;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** Runs the decision module for the simulator, between standard input and standard output. */
public final class Main {
    private static final int BUFFER_BYTES = 1 << 16;

    /** System property that enables gossip between hosted balancers if its value is "on". */
    private static final String GOSSIP_PROPERTY = "frostrelay.peers";

    private Main() {}

    /**
     * Exits with 0 at the end of input, and with 1 on malformed input, a read or write failure, or
     * a wrong argument.
     */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("frostrelay: usage: java -jar frostrelay-adapter.jar adapter");
            System.exit(1);
        }
        InputStream in =
                new BufferedInputStream(new FileInputStream(FileDescriptor.in), BUFFER_BYTES);
        int status = serve(in, new FileOutputStream(FileDescriptor.out), System.err);
        if (status != 0) {
            System.exit(status);
        }
    }

    /** Serves until the end of input and returns the exit code. */
    static int serve(InputStream in, OutputStream out, PrintStream err) {
        try {
            boolean gossipEnabled = "on".equals(System.getProperty(GOSSIP_PROPERTY));
            new Adapter(in, out, gossipEnabled).run();
            return 0;
        } catch (WireException e) {
            err.println("frostrelay: malformed input: " + e.getMessage());
        } catch (IOException e) {
            err.println(
                    "frostrelay: cannot read standard input or write standard output: "
                            + e.getMessage());
        }
        return 1;
    }
}
