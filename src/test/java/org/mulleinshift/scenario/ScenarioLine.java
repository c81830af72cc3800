package org.mulleinshift.scenario;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A line of a scenario, split into words. */
record ScenarioLine(List<String> words) {
  /** Indexes of words; the command is at 0. */
  static final int THIRD = 3;

  static final int FOURTH = 4;
  static final int FIFTH = 5;

  static ScenarioLine parse(String text) {
    return new ScenarioLine(Arrays.asList(text.split("\\s+")));
  }

  /** The line from the word at the index on. */
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

  /** The fields that the words {@code name=value} from the index on give. */
  Map<String, String> fields(int index) {
    Map<String, String> fields = new HashMap<>();
    for (String word : words.subList(index, words.size())) {
      int equals = word.indexOf('=');
      fields.put(word.substring(0, equals), word.substring(equals + 1));
    }
    return fields;
  }

  /** The sum of those words from the index on that are numbers; 0 if there are none. */
  double sumOfNumbers(int index) {
    return words.subList(index, words.size()).stream()
        .filter(word -> word.matches("[0-9.]+"))
        .mapToDouble(Double::parseDouble)
        .reduce(0, Double::sum);
  }

  /** The exception for a line whose command, setting or expectation does not exist. */
  IllegalArgumentException unknownLine() {
    return new IllegalArgumentException("unknown scenario line: " + this);
  }

  @Override
  public String toString() {
    return String.join(" ", words);
  }
}
