#!/bin/sh
# Lays beside our own site files what the bench reads along with them. It is the kit's and stays out of the repository.
# Usage: sh deploy/lay-sites.sh KIT, the kit's folder. Exit status 1, with the file's name, where the kit lacks one.
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
