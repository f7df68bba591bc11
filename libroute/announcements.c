/**
 * DOC: announcements of slow or pausing replicas that are to be passed on
 */
#include "libroute/announcements.h"

static bool is_pause(const announcement_t *announcement)
{
	return announcement->period > 0;
}

static bool replaces(const announcement_t *later, const announcement_t *earlier)
{
	return later->replica == earlier->replica &&
	       is_pause(later) == is_pause(earlier);
}

/**
 * announcements_add() - add an announcement, or replace the last of its kind
 * @announcements: announcements to be passed on
 * @announcement: announcement that this instance has not passed on before; left
 *	out if %ANNOUNCEMENTS_MAX are waiting, as the observer repeats it
 */
void announcements_add(announcements_t *announcements,
		       const announcement_t *announcement)
{
	size_t i = 0;

	while (i < announcements->len &&
	       !replaces(announcement, &announcements->waiting[i]))
		i++;
	if (i == ANNOUNCEMENTS_MAX)
		return;
	announcements->waiting[i] = *announcement;
	if (i == announcements->len)
		announcements->len++;
}
