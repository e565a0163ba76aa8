package org.rattanrudder.command;

import java.util.List;
import java.util.Locale;
import org.rattanrudder.command.BurnView.ClassView;
import org.rattanrudder.core.burn.BurnReport;
import org.rattanrudder.core.burn.ClassBurn;
import org.rattanrudder.core.burn.Window;

/** Writes the burn report as one page that needs no other file. */
final class BurnPage {
    private static final long MINUTE_MILLIS = 60_000;
    private static final long QUARTER_MILLIS = 900_000;
    private static final String STYLE = """
            :root{color-scheme:light dark;--ink:#1c2430;--soft:#5d6878;--line:#d6dce4;--back:#f5f7f9;--card:#fff;
              --good:#3b7dd8;--bad:#c8472f;--warn:#b7791f;--seen:#eef2f6;--gap:#c9cfd8}
            @media (prefers-color-scheme:dark){:root{--ink:#e6eaf0;--soft:#9aa5b5;--line:#38414d;--back:#161b22;
              --card:#1f262f;--good:#6ea3ec;--bad:#e5735c;--warn:#d9a441;--seen:#28313c;--gap:#49525f}}
            body{margin:0;padding:24px;background:var(--back);color:var(--ink);font:15px/1.45 system-ui,sans-serif}
            main{max-width:1240px;margin:auto} h1{font-size:22px;margin:0 0 4px} h2{font-size:17px;margin:0}
            h3{font-size:13px;margin:0 0 4px;color:var(--soft);font-weight:600} p{margin:4px 0}
            section{background:var(--card);border:1px solid var(--line);border-radius:8px;padding:16px;margin:16px 0}
            header{display:flex;gap:12px;align-items:baseline;flex-wrap:wrap} .soft{color:var(--soft)}
            .alert{background:var(--bad);color:#fff;border-radius:4px;padding:1px 8px;font-size:13px}
            .tables{display:flex;gap:16px 64px;flex-wrap:wrap}
            .plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(340px,1fr));gap:16px;margin-top:12px}
            table{border-collapse:collapse;font-variant-numeric:tabular-nums;font-size:14px}
            th,td{text-align:right;padding:3px 14px 3px 0} th{color:var(--soft);font-weight:600}
            th:first-child,td:first-child{text-align:left} .scroll{overflow-x:auto}
            .meter{height:8px;background:var(--seen);border-radius:4px;width:220px;overflow:hidden;margin:6px 0 10px}
            .meter div{height:100%;background:var(--good)} .meter.low div{background:var(--bad)}
            svg{width:100%;height:auto;display:block} svg text{font-size:11px;fill:var(--soft)}
            .good{fill:var(--good)} .bad{fill:var(--bad)} .seen{fill:var(--seen)}
            .unknown{fill:var(--gap)} .partial{fill:var(--gap);opacity:.45}
            .touch{fill:transparent}
            .axis{stroke:var(--line)} .objective{stroke:var(--warn);stroke-dasharray:5 4;stroke-width:1.5}
            .over{color:var(--bad);font-weight:600}
            """;

    private final BurnReport report;
    private final BurnView view;
    private final BurnPlots plots;

    BurnPage(BurnReport report, BurnView view) {
        this.report = report;
        this.view = view;
        this.plots = new BurnPlots(report);
    }

    /** Returns the page. */
    String html() {
        StringBuilder page = new StringBuilder();
        page.append("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">")
                .append("<meta name=\"viewport\" content=\"width=device-width\"><title>Service-level burn</title>")
                .append("<style>\n")
                .append(STYLE)
                .append("</style></head><body><main>\n<h1>Service-level burn</h1>\n<p class=\"soft\">")
                .append(BurnTable.time(view.takenMillis()))
                .append(" · ")
                .append(view.entries().size())
                .append(" of ")
                .append(view.entries().size() + view.silent().size())
                .append(" entries answered</p>\n");
        coverage(page);
        List<ClassBurn> burns = report.classes();
        for (int index = 0; index < burns.size(); index++) {
            section(page, burns.get(index), view.classes().get(index));
        }
        if (burns.isEmpty()) {
            page.append("<section><p>No request has been counted yet.</p></section>");
        }
        return page.append("</main></body></html>\n").toString();
    }

    private void coverage(StringBuilder page) {
        page.append("<section><h3>What the entries' memory covers</h3><p>");
        view.coverage()
                .forEach(each -> page.append(Svg.escape(each.window()))
                        .append(": <b>")
                        .append(BurnTable.percent(each.share()))
                        .append("</b> &nbsp; "));
        page.append("</p>");
        view.coverage()
                .get(view.coverage().size() - 1)
                .gaps()
                .forEach(gap -> page.append("<p class=\"soft\">")
                        .append(Svg.escape(gap.instance()))
                        .append(" counts since ")
                        .append(BurnTable.time(gap.untilMillis()))
                        .append("; what was counted in its place before is not known.</p>"));
        view.silent()
                .forEach(each -> page.append("<p class=\"over\">No answer from ")
                        .append(Svg.escape(each))
                        .append("; what it counted is missing.</p>"));
        page.append("<p class=\"soft\">In the plots over time, dark grey is not known at all and light grey is known ")
                .append("from some of the entries only. The dashed line is the objective.</p></section>\n");
    }

    private void section(StringBuilder page, ClassBurn burn, ClassView each) {
        page.append("<section><header><h2>")
                .append(Svg.escape(each.service() + " · " + each.requestClass()))
                .append("</h2><span class=\"soft\">")
                .append(BurnTable.objective(each))
                .append("</span>");
        each.alerts()
                .forEach(alert -> page.append(String.format(
                        Locale.ROOT,
                        "<span class=\"alert\">%s: %.1fx or more over %s and %s</span>",
                        alert.alert(),
                        alert.threshold(),
                        alert.longWindow(),
                        alert.shortWindow())));
        BurnView.CoverageView longest = view.coverage().get(view.coverage().size() - 1);
        page.append("</header><p>Error budget left over 3 d: <b>")
                .append(BurnTable.percent(each.budgetLeft()))
                .append("</b> <span class=\"soft\">(")
                .append(BurnTable.percent(longest.share()))
                .append(" of that time is known)</span></p>");
        double left = Math.max(0, Math.min(1, each.budgetLeft()));
        page.append(String.format(
                Locale.ROOT,
                "<div class=\"meter%s\"><div style=\"width:%.1f%%\"></div></div>",
                left < 0.25 ? " low" : "",
                left * 100));
        page.append("<div class=\"tables\"><div>");
        windows(page, each);
        page.append("</div><div><h3>Worst customers, last six hours</h3>");
        customers(page, each);
        page.append("</div></div>");
        firstByte(page, each);
        page.append("<div class=\"plots\">");
        plot(
                page,
                "Share of bad requests, last hour by minute",
                plots.badShare(burn, burn.minutes(), Window.HOUR.startMillis(view.takenMillis()), MINUTE_MILLIS));
        plot(
                page,
                "Share of bad requests, three days by 15 min",
                plots.badShare(
                        burn, burn.quarters(), Window.THREE_DAYS.startMillis(view.takenMillis()), QUARTER_MILLIS));
        plot(page, "Answers by time to the first byte, last six hours", plots.firstByte(burn));
        page.append("</div></section>\n");
    }

    private static void plot(StringBuilder page, String title, String svg) {
        page.append("<div><h3>").append(title).append("</h3>").append(svg).append("</div>");
    }

    private static void windows(StringBuilder page, ClassView each) {
        page.append("<div class=\"scroll\"><table><tr><th>window</th><th>burn rate</th><th>good</th><th>bad</th></tr>");
        each.windows()
                .forEach(window -> page.append("<tr><td>")
                        .append(window.window())
                        .append(window.burnRate() >= 1 ? "</td><td class=\"over\">" : "</td><td>")
                        .append(BurnTable.rate(window))
                        .append("</td><td>")
                        .append(window.good())
                        .append("</td><td>")
                        .append(window.bad())
                        .append("</td></tr>"));
        page.append("</table></div>");
    }

    private static void firstByte(StringBuilder page, ClassView each) {
        page.append("<p class=\"soft\">First byte: p50 ")
                .append(BurnTable.millis(each.firstByte().p50Micros()))
                .append(", p95 ")
                .append(BurnTable.millis(each.firstByte().p95Micros()))
                .append(", p99 ")
                .append(BurnTable.millis(each.firstByte().p99Micros()))
                .append(" · ")
                .append(each.excluded())
                .append(" requests not counted (the caller's own doing)</p>");
    }

    private static void customers(StringBuilder page, ClassView each) {
        if (each.worstCustomers().isEmpty()) {
            page.append("<p class=\"soft\">No customer had a bad request.</p>");
            return;
        }
        page.append("<table><tr><th>customer</th><th>bad</th><th>of</th><th>share</th></tr>");
        each.worstCustomers().forEach(customer -> {
            long total = customer.good() + customer.bad();
            page.append("<tr><td>")
                    .append(Svg.escape(customer.customer()))
                    .append("</td><td>")
                    .append(customer.bad())
                    .append("</td><td>")
                    .append(total)
                    .append("</td><td>")
                    .append(BurnTable.percent((double) customer.bad() / total))
                    .append("</td></tr>");
        });
        page.append("</table>");
    }
}
