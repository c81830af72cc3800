package org.mulleinshift.scenario;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The words of a line of a scenario. */
record ScenarioLine(List<String> words) {
  /** Positions of arguments; the command is at 0. */
  static final int THIRD = 3;

  static final int FOURTH = 4;
  static final int FIFTH = 5;

  static ScenarioLine parse(String text) {
    return new ScenarioLine(Arrays.asList(text.split("\\s+")));
  }

  /** The line without its first words. */
  ScenarioLine skip(int index) {
    return new ScenarioLine(words.subList(index, words.size()));
  }

  int size() {
    return words.size();
  }

  String word(int index) {
    return words.get(index);
  }

  String wordOr(int index, String defaultValue) {
    return index < words.size() ? words.get(index) : defaultValue;
  }

  double number(int index) {
    return Double.parseDouble(words.get(index));
  }

  double numberOr(int index, double defaultValue) {
    return index < words.size() ? number(index) : defaultValue;
  }

  int integer(int index) {
    return Integer.parseInt(words.get(index));
  }

  /** The words {@code name=value} from the index on. */
  Map<String, String> fields(int index) {
    Map<String, String> fields = new HashMap<>();
    for (String word : words.subList(index, words.size())) {
      int equals = word.indexOf('=');
      fields.put(word.substring(0, equals), word.substring(equals + 1));
    }
    return fields;
  }

  /** The sum of the plain numbers from the index on. */
  double sumOfNumbers(int index) {
    return words.subList(index, words.size()).stream()
        .filter(word -> word.matches("[0-9.]+"))
        .mapToDouble(Double::parseDouble)
        .reduce(0, Double::sum);
  }

  IllegalArgumentException unknownLine() {
    return new IllegalArgumentException(toString());
  }

  @Override
  public String toString() {
    return String.join(" ", words);
  }
}
