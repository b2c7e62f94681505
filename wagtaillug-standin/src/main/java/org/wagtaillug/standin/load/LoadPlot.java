package org.wagtaillug.standin.load;

import java.io.File;
import java.io.IOException;
import java.util.function.ToLongFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws what came of the requests in each second. */
final class LoadPlot {
    private static final int WIDTH = 1_200;
    private static final int HEIGHT = 500;

    private LoadPlot() {}

    /** Writes a PNG; needs no screen. */
    static void write(LoadReport report, File file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYSeriesCollection lines = new XYSeriesCollection();
        lines.addSeries(line(report, "served", LoadReport.SecondReport::served));
        lines.addSeries(line(report, "refused", LoadReport.SecondReport::refused));
        lines.addSeries(line(report, "late", LoadReport.SecondReport::late));
        lines.addSeries(line(report, "lost", LoadReport.SecondReport::lost));
        JFreeChart chart = ChartFactory.createXYLineChart(
                "Requests by the second in which they were due", "second", "requests a second", lines);
        ChartUtils.saveChartAsPNG(file, chart, WIDTH, HEIGHT);
    }

    private static XYSeries line(LoadReport report, String name, ToLongFunction<LoadReport.SecondReport> value) {
        XYSeries series = new XYSeries(name);
        for (LoadReport.SecondReport second : report.seconds()) {
            series.add(second.second(), value.applyAsLong(second));
        }
        return series;
    }
}
