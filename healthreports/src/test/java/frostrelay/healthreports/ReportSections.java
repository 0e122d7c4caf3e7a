package frostrelay.healthreports;

import java.nio.ByteBuffer;

/** Delivers single reports to an aggregator as gossip sections. */
final class ReportSections {
    private ReportSections() {}

    /** Delivers a reporter's own report, encoded as in docs/design/shared-state.md. */
    static void sendDirect(
            HealthReportAggregator to, long now, long cache, HealthReport report, int age) {
        ByteBuffer out =
                ByteBuffer.allocate(18)
                        .putLong(cache)
                        .putShort((short) report.sequenceNumber())
                        .putInt(report.serverStart())
                        .put((byte) age)
                        .put((byte) report.successes())
                        .put((byte) report.failures())
                        .put((byte) report.observationBits());
        to.onSection(now, 0, report.rank(), report.incarnation(), 32, out.flip());
    }

    /** Delivers a report that another peer relays. */
    static void sendRelayed(
            HealthReportAggregator to, long now, long cache, int relay, HealthReport report) {
        ByteBuffer out = ByteBuffer.allocate(HealthReport.RELAYED_BYTES);
        report.write(out, cache, 0, true);
        to.onSection(now, 0, relay, report.incarnation(), 33, out.flip());
    }
}
