package frostrelay.staleness;

/** A version of one kind. */
record NumberedVersion(VersionKind kind, long number) {}
