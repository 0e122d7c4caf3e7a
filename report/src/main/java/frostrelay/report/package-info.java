/** HTML pages with plots of the results of experiments. */
package frostrelay.report;
