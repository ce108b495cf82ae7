package dapplequay.lab.experiment;

import dapplequay.lab.text.TomlFile;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A rolling restart or reload of the sidecars. Times are microseconds.
 *
 * @param signal TERM, KILL or HUP
 * @param share  share of the sidecars that get the signal
 * @param batch  sidecars signalled at the same time
 * @param gapUs  time from one batch to the next
 * @param downUs time from a sidecar's exit to its next start
 */
public record Wave(long atUs, String signal, double share, int batch, long gapUs, long downUs) {
    /** A signal to one sidecar, at a time relative to the start of the load. */
    public record Step(long atUs, int sidecar, String signal, long downUs) { }

    static Wave read(TomlFile.Table table) {
        return new Wave(table.durationUs("at"), table.oneOf("signal", "TERM", List.of("TERM", "KILL", "HUP")),
                table.number("share", 1, 0, 1), table.integer("batch", 1, 1, 10_000),
                table.durationUs("gap", 1_000_000), table.durationUs("down", 300_000));
    }

    /** Returns the steps of all waves by time; the order of the sidecars depends only on the seed. */
    static List<Step> steps(List<Wave> waves, int sidecars, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed ^ 0x7a7eL);
        List<Step> steps = new ArrayList<>();
        for (Wave wave : waves) {
            List<Integer> remaining = new ArrayList<>();
            for (int i = 0; i < sidecars; i++) {
                remaining.add(i);
            }
            int count = (int) Math.round(wave.share() * sidecars);
            for (int i = 0; i < count; i++) {
                int sidecar = remaining.remove(random.nextInt(remaining.size()));
                steps.add(new Step(wave.atUs() + i / wave.batch() * wave.gapUs(), sidecar, wave.signal(),
                        wave.downUs()));
            }
        }
        steps.sort(java.util.Comparator.comparingLong(Step::atUs));
        return steps;
    }
}
