package org.wagtaillug.standin.load;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.File;
import java.io.IOException;
import java.util.List;
import java.util.function.ToLongFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.XYPlot;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Plots the outcomes of the requests per second. */
final class LoadPlot {
    private static final int WIDTH = 1_200;
    private static final int HEIGHT = 500;
    private static final float LINE_WIDTH = 2;
    private static final List<Color> COLORS =
            List.of(new Color(0x2E7D32), new Color(0x1565C0), new Color(0xEF6C00), new Color(0xC62828));

    private LoadPlot() {}

    /** Writes a PNG file; works without a display. */
    static void write(LoadReport report, File file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYSeriesCollection lines = new XYSeriesCollection();
        lines.addSeries(line(report, "served", LoadReport.SecondReport::served));
        lines.addSeries(line(report, "refused", LoadReport.SecondReport::refused));
        lines.addSeries(line(report, "late", LoadReport.SecondReport::late));
        lines.addSeries(line(report, "lost", LoadReport.SecondReport::lost));
        JFreeChart chart = ChartFactory.createXYLineChart(
                "Requests by the second in which they were due", "second", "requests a second", lines);
        paint(chart.getXYPlot());
        ChartUtils.saveChartAsPNG(file, chart, WIDTH, HEIGHT);
    }

    private static void paint(XYPlot plot) {
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        for (int line = 0; line < COLORS.size(); line++) {
            plot.getRenderer().setSeriesPaint(line, COLORS.get(line));
            plot.getRenderer().setSeriesStroke(line, new BasicStroke(LINE_WIDTH));
        }
    }

    private static XYSeries line(LoadReport report, String name, ToLongFunction<LoadReport.SecondReport> value) {
        XYSeries series = new XYSeries(name);
        for (LoadReport.SecondReport second : report.seconds()) {
            series.add(second.second(), value.applyAsLong(second));
        }
        return series;
    }
}
