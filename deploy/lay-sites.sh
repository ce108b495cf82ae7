#!/bin/sh
# Copies the files that the bench reads with our site files from the bench's kit to deploy/sites. They belong to the kit and
# stay out of the repository. Usage: sh deploy/lay-sites.sh KIT, where KIT is the kit's folder. Exits with status 1 and the
# name of the file if one is missing from the kit.
set -u
kit=${1:?usage: sh deploy/lay-sites.sh KIT}
sites_dir=$(dirname "$0")/sites
for file in real.json wire.json unlock.txt; do
    if [ ! -r "$kit/more/mass/other/$file" ]; then
        echo "lay-sites: no $kit/more/mass/other/$file" >&2
        exit 1
    fi
    cp "$kit/more/mass/other/$file" "$sites_dir/$file" || exit 1
    chmod u+w "$sites_dir/$file"
done
