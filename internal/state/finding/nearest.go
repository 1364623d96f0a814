package finding

// maxSuggestDistance is the maximum edit distance at which a known name is suggested.
// A larger maximum would suggest unrelated names.
const maxSuggestDistance = 3

// Nearest returns the known name with the smallest edit distance from name, or "" if
// none is close enough to be what was probably meant. If several are equally close, it
// returns the first.
func Nearest(name string, known []string) string {
	best, bestDistance := "", maxSuggestDistance+1
	for _, k := range known {
		d := editDistance(name, k)
		if d < bestDistance && d < len(k) {
			best, bestDistance = k, d
		}
	}
	return best
}

// Suggest returns a remedy that suggests the nearest known name, or "" if there is none.
func Suggest(name string, known []string) string {
	n := Nearest(name, known)
	if n == "" {
		return ""
	}
	return "did you mean " + n + "?"
}

// editDistance returns the Levenshtein distance in bytes. Distances above
// maxSuggestDistance need not be exact.
func editDistance(a, b string) int {
	if abs(len(a)-len(b)) > maxSuggestDistance {
		return maxSuggestDistance + 1
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
