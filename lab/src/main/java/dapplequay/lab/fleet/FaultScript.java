package dapplequay.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** The faults of one run, drawn in advance, with their times and hosts. Equal seeds draw equal scripts. */
public record FaultScript(List<Step> steps) {
    /** The begin or end of a fault, in microseconds from the start of the load. */
    public record Step(long atUs, boolean begins, FaultSpec fault, List<Integer> hosts) { }

    public static FaultScript draw(FleetSpec fleet, List<FaultSpec> faults, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed ^ 0x5fa7L);
        List<Step> steps = new ArrayList<>();
        for (FaultSpec fault : faults) {
            List<Integer> hosts = fault.kind().affectsDiscovery() ? List.of() : pickHosts(fleet, fault, random);
            steps.add(new Step(fault.startUs(), true, fault, hosts));
            steps.add(new Step(fault.startUs() + fault.durationUs(), false, fault, hosts));
        }
        steps.sort(Comparator.comparingLong(Step::atUs));
        return new FaultScript(List.copyOf(steps));
    }

    private static List<Integer> pickHosts(FleetSpec fleet, FaultSpec fault, UniformRandomProvider random) {
        if (!fault.hosts().isEmpty()) {
            return fault.hosts();
        }
        List<Integer> candidates = new ArrayList<>();
        for (int i = 0; i < fleet.hosts().size(); i++) {
            if (fault.zone() < 0 || fleet.hosts().get(i).zone() == fault.zone()) {
                candidates.add(i);
            }
        }
        int count = Math.min(candidates.size(), Math.max(1, (int) Math.round(fault.share() * candidates.size())));
        List<Integer> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(candidates.remove(random.nextInt(candidates.size())));
        }
        hosts.sort(null);
        return List.copyOf(hosts);
    }

    /** Returns the script as text, one line for each step. */
    public String text() {
        return steps.stream().map(step -> String.format(Locale.ROOT, "%.3f %s %s %s%n", step.atUs() / 1e6,
                step.begins() ? "begin" : "end", step.fault().kind().configName(), step.hosts()))
                .collect(Collectors.joining());
    }
}
