package frostrelay.testbed.campaign;

/** What a checker found: which check, and the facts. */
public record Violation(String check, String what) {}
