package dapplequay.lab.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What a judge found in one run: figures, and for each rule how often it was broken, with examples. */
public final class Verdict {
    private static final int MAX_EXAMPLES = 5;

    /** One rule: what it asks, how often it was broken, and the first cases. */
    public static final class Rule {
        private final String requirement;
        private final List<String> examples = new ArrayList<>();
        private long violations;

        Rule(String requirement) {
            this.requirement = requirement;
        }

        void addViolation(String example) {
            violations++;
            if (examples.size() < MAX_EXAMPLES) {
                examples.add(example);
            }
        }

        public String requirement() {
            return requirement;
        }

        public long violations() {
            return violations;
        }

        public List<String> examples() {
            return examples;
        }
    }

    private final Map<String, Rule> rules = new LinkedHashMap<>();
    private final Map<String, Double> figures = new LinkedHashMap<>();

    Rule rule(String name, String requirement) {
        return rules.computeIfAbsent(name, n -> new Rule(requirement));
    }

    void figure(String name, double value) {
        figures.put(name, value);
    }

    public Map<String, Rule> rules() {
        return rules;
    }

    public Map<String, Double> figures() {
        return figures;
    }

    public double figure(String name) {
        return figures.getOrDefault(name, 0.0);
    }

    public long violations(String rule) {
        return rules.get(rule).violations();
    }

    /** How often any rule was broken. */
    public long violations() {
        return rules.values().stream().mapToLong(Rule::violations).sum();
    }
}
