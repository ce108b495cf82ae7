package dapplequay.lab.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The judge's findings for one run: figures, and for each rule the number of violations with examples. */
public final class Verdict {
    private static final int MAX_EXAMPLES = 5;

    /** A rule: its requirement, the number of violations, and the first of them as examples. */
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

    /** Returns the number of violations of all rules. */
    public long violations() {
        return rules.values().stream().mapToLong(Rule::violations).sum();
    }
}
