package io.oleandermoor.replay.report;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;

/** Builds one HTML page that needs no other file. All texts are escaped. */
final class HtmlPage {

    private static final String STYLE = """
            body { font: 15px/1.45 sans-serif; color: #222; max-width: 1000px; margin: 2em auto; padding: 0 1em; }
            h1 { font-size: 1.5em; } h2 { font-size: 1.15em; margin-top: 2em; }
            table { border-collapse: collapse; margin: 0.5em 0; }
            th, td { border-bottom: 1px solid #ddd; padding: 0.2em 0.9em 0.2em 0; text-align: left; vertical-align: top; }
            td.number, th.number { text-align: right; }
            img { width: 100%; height: auto; }
            p.note { color: #555; margin-top: 0.2em; }
            p.bad { color: #a00; font-weight: bold; }
            """;

    private final StringBuilder text = new StringBuilder();

    HtmlPage(String title) {
        text.append("<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n<title>")
                .append(escape(title))
                .append("</title>\n<style>\n")
                .append(STYLE)
                .append("</style>\n</head>\n<body>\n<h1>")
                .append(escape(title))
                .append("</h1>\n");
    }

    HtmlPage heading(String heading) {
        text.append("<h2>").append(escape(heading)).append("</h2>\n");
        return this;
    }

    HtmlPage note(String note) {
        text.append("<p class=\"note\">").append(escape(note)).append("</p>\n");
        return this;
    }

    HtmlPage problem(String problem) {
        text.append("<p class=\"bad\">").append(escape(problem)).append("</p>\n");
        return this;
    }

    /** Adds a picture with its text for readers that do not show pictures. */
    HtmlPage picture(byte[] png, String alternative) {
        text.append("<img alt=\"")
                .append(escape(alternative))
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(png))
                .append("\">\n");
        return this;
    }

    /** Adds names and their values. */
    HtmlPage facts(List<List<String>> rows) {
        text.append("<table>\n");
        rows.forEach(cells -> row("td", cells, List.of()));
        text.append("</table>\n");
        return this;
    }

    /** Adds a table; cells that start with a digit are aligned as numbers. */
    HtmlPage table(List<String> header, List<List<String>> rows) {
        text.append("<table>\n");
        row("th", header, rows.isEmpty() ? header : rows.get(0));
        rows.forEach(cells -> row("td", cells, cells));
        text.append("</table>\n");
        return this;
    }

    private void row(String tag, List<String> cells, List<String> alignedAs) {
        text.append("<tr>");
        for (int column = 0; column < cells.size(); column++) {
            String sample = column < alignedAs.size() ? alignedAs.get(column) : "";
            boolean number = column > 0 && !sample.isEmpty() && Character.isDigit(sample.charAt(0));
            text.append('<').append(tag).append(number ? " class=\"number\">" : ">");
            text.append(escape(cells.get(column)));
            text.append("</").append(tag).append('>');
        }
        text.append("</tr>\n");
    }

    void write(Path file) throws IOException {
        Files.writeString(file, toString(), StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return text + "</body>\n</html>\n";
    }

    private static String escape(String plain) {
        return plain.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
