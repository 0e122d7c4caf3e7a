package frostrelay.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.lang.management.ManagementFactory;

/** Recording a send or a rejection allocates nothing. */
class AuditLogAllocationTest {
    @Test
    void sendsAndRejectionsAllocateNothing() {
        int[] entries = new int[1];
        AuditLog log =
                new AuditLog(
                        entry -> entries[0]++, false, 0, 0, "b", 0, 1, AuditRecordTest.versions(1));
        int cache = log.cacheNumber(1, "cache-1");
        long[] bytes = new long[2];
        com.sun.management.ThreadMXBean threads =
                (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        for (int run = 0; run < 2; run++) {
            long before = threads.getCurrentThreadAllocatedBytes();
            for (int i = 0; i < 1_000_000; i++) {
                log.recordSend(i, 0, cache, 0, false, "id");
                log.recordRejection();
            }
            bytes[run] = threads.getCurrentThreadAllocatedBytes() - before;
        }
        assertTrue(bytes[1] < 1_000, "bytes for a million sends: " + bytes[1]);
        log.tick(2_000_000, 2);
        assertEquals(4, entries[0], "start, versions, name and counts");
    }
}
