/**
 * The command line. Each command is a class; picocli parses its options. Only this package writes
 * to the terminal.
 */
package frostrelay.cli;
