package frostrelay.cli;

import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Seeds from a first to a last one, as {@code 3..8}, or a single one. */
record SeedRange(long first, long last) {
    /** Reads the option's text. */
    static final class Converter implements ITypeConverter<SeedRange> {
        @Override
        public SeedRange convert(String text) {
            if (!text.matches("\\d{1,9}(\\.\\.\\d{1,9})?")) {
                throw new TypeConversionException("found " + text + ", allowed: A..B");
            }
            String[] ends = text.split("\\.\\.");
            SeedRange range =
                    new SeedRange(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
            if (range.last < range.first) {
                throw new TypeConversionException(
                        "found " + text + ", allowed: A..B with A at most B");
            }
            return range;
        }
    }
}
