package org.mulleinshift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The sources use the terms of {@code docs/glossary.md}. Words of the operators' wire format stand
 * in the codecs of {@code protocol} only, and words that the glossary withdrew nowhere; names in
 * quotes (stored fields, settings, wire names) are left out, since they must stay as they are.
 */
final class VocabularyTest {
  private static final Path SOURCES = Path.of("src/main/java/org/mulleinshift");

  /** Words of the wire; as part of an identifier or of a comment. */
  private static final Pattern WIRE =
      words(
          "baton", "foreman", "crew", "loaner", "yard", "startup", "hire", "lane", "bundle",
          "halt");

  private static final Pattern WITHDRAWN =
      words(
          "holder",
          "faulty",
          "rehearse",
          "rehearsed",
          "rehearsal",
          "doubted",
          "delegation",
          "delegated",
          "delegate",
          "rental",
          "rentals",
          "rented",
          "knock",
          "knocks",
          "knocked",
          "stranger",
          "blame",
          "blamed",
          "orphan",
          "orphans",
          "headroom",
          "halts",
          "stray",
          "strays",
          "recall",
          "recalled",
          "surroundings",
          "taker",
          "fates",
          "deaf",
          "walk",
          "room",
          "rooms",
          "journal",
          "party",
          "parties");

  /** Parts of identifiers count as words: {@code lastHolder} has two. */
  private static final Pattern PART = Pattern.compile("[A-Z]+(?![a-z])|[A-Z]?[a-z]+");

  private static final Pattern QUOTED = Pattern.compile("\"(?:[^\"\\\\]|\\\\.)*\"|\\{@code [^}]*}");

  private static Pattern words(String... words) {
    return Pattern.compile(String.join("|", words));
  }

  static List<Path> sources() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      return files.filter(file -> file.toString().endsWith(".java")).sorted().toList();
    }
  }

  @ParameterizedTest
  @MethodSource("sources")
  void usesTheTermsOfTheGlossary(Path source) throws IOException {
    List<String> findings = new ArrayList<>();
    boolean codec = source.startsWith(SOURCES.resolve("protocol"));
    List<String> lines = Files.readAllLines(source);
    for (int number = 1; number <= lines.size(); number++) {
      String line = QUOTED.matcher(lines.get(number - 1)).replaceAll("");
      Matcher parts = PART.matcher(line);
      while (parts.find()) {
        String word = parts.group().toLowerCase(Locale.ROOT);
        boolean themed = WIRE.matcher(word).matches() && !codec;
        if (themed || WITHDRAWN.matcher(word).matches()) {
          findings.add("line " + number + ": " + word);
        }
      }
    }
    assertEquals(List.of(), findings, source.toString());
  }
}
