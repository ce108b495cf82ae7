package dapplequay.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MissingKeysTest {
    private static final String BEFORE = "{'a':1,'b':{'c':2,'n':null},'l':[1,2],"
            + "'s':[{'name':'x','semantics':'q','d':1,'e':2},{'name':'y','semantics':'r','d':1}]}";

    private static Object tree(String text) throws Exception {
        return Json.parse(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    /** Each case replaces a part of the configuration: the part, its replacement, and the path that is then missing. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '~', value = {
        "'a':1,|'z':1,|a", "'c':2,||b.c", "'b':{'c':2,'n':null}|'b':3|b", "'l':[1,2]|'l':7|l", "'a':1,|'a':null,|a",
        "'d':1,'e':2|'d':1|s[x].e", "'semantics':'r','d':1|'semantics':'r'|s[y].d",
        "'name':'y','semantics':'r','d':1|'name':'new','semantics':'r'|s[new].d", "'a':1,|'a':2,'more':3,|",
        "'l':[1,2]|'l':[]|", ",{'name':'y','semantics':'r','d':1}||", "'name':'y'|'name':'new'|",
        "'semantics':'q','d':1,'e':2|'semantics':'r','d':9|", "'a':1,|'a':1,|",
    })
    void findsTheFirstKeyThatIsMissing(String find, String replace, String missingPath) throws Exception {
        assertThat(BEFORE).contains(find);
        String now = BEFORE.replace(find, replace == null ? "" : replace);
        assertThat(MissingKeys.firstMissing(tree(BEFORE), tree(now))).isEqualTo(missingPath);
    }
}
